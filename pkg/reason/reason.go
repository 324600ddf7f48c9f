// Package reason names the values of enumerated reasons and their remedies, for counters,
// logs and error messages.
package reason

import "fmt"

// Text is the name of a reason, as counters and logs show it, and what to do about it.
type Text struct{ Name, Remedy string }

// Table holds the texts of an enumeration whose values start at 1; index 0 is unused.
type Table[R ~uint8] []Text

// All returns every reason, for registering one counter each.
func (t Table[R]) All() []R {
	out := make([]R, 0, len(t)-1)
	for r := 1; r < len(t); r++ {
		out = append(out, R(r))
	}
	return out
}

// Name returns the name of a reason; an unknown one is named by its number.
func (t Table[R]) Name(r R) string {
	if r == 0 || int(r) >= len(t) {
		return fmt.Sprintf("reason_%d", uint8(r))
	}
	return t[r].Name
}

// Remedy returns what to do about a reason; it is empty for an unknown one.
func (t Table[R]) Remedy(r R) string {
	if int(r) >= len(t) {
		return ""
	}
	return t[r].Remedy
}
