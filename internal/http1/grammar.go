package http1

// tokenBytes is the set of bytes permitted in field names and methods (RFC 9110, section 5.6.2).
var tokenBytes = func() (table [256]bool) {
	for _, char := range "!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ" {
		table[char] = true
	}
	return table
}()

// IsToken reports whether text is a token: a valid field name or method (RFC 9110, section 5.6.2).
func IsToken[Text string | []byte](text Text) bool {
	for i := 0; i < len(text); i++ {
		if !tokenBytes[text[i]] {
			return false
		}
	}
	return len(text) > 0
}

// IsFieldContent reports whether text holds no control byte other than tabs, so that it can be a field value or a reason
// phrase (RFC 9110, section 5.5, and RFC 9112, section 4). Bytes above 0x7f are permitted, and so is an empty text.
func IsFieldContent[Text string | []byte](text Text) bool {
	const del = 0x7f
	for i := 0; i < len(text); i++ {
		if char := text[i]; (char < ' ' && char != '\t') || char == del {
			return false
		}
	}
	return true
}
