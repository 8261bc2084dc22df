package session

// quorumSize returns the number of core members that form a majority.
func quorumSize(memberCount int) int { return memberCount/2 + 1 }
