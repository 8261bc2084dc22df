//go:build !race

package plan

const underRace = false
