package ownership

import "fmt"

// Error is a fault found in a page, or a change that a page does not allow.
type Error struct {
	Service string
	Field   string // Such as "units[3].owner".
	Reason  string
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("ownership page %q: %s: %s", e.Service, e.Field, e.Reason)
}

func pageError(page *Page, field, format string, args ...any) error {
	return &Error{Service: page.Service, Field: field, Reason: fmt.Sprintf(format, args...)}
}
