// Package reason maps the values of reason enumerations to names and remedies, for counters, log lines
// and error messages.
package reason

import "fmt"

// Text is the name of a reason in counters and log lines, and its remedy.
type Text struct{ Name, Remedy string }

// Table holds the texts of an enumeration whose values start at 1; index 0 is unused.
type Table[R ~uint8] []Text

// All returns every reason, for example to register a counter for each.
func (t Table[R]) All() []R {
	out := make([]R, 0, len(t)-1)
	for r := 1; r < len(t); r++ {
		out = append(out, R(r))
	}
	return out
}

// Name returns the name of a reason, or "reason_" and its number if it is unknown.
func (t Table[R]) Name(r R) string {
	if r == 0 || int(r) >= len(t) {
		return fmt.Sprintf("reason_%d", uint8(r))
	}
	return t[r].Name
}

// Remedy returns the remedy of a reason, empty if the reason is unknown.
func (t Table[R]) Remedy(r R) string {
	if int(r) >= len(t) {
		return ""
	}
	return t[r].Remedy
}
