package operator

import (
	"errors"
	"fmt"
	"net/http"
	"strings"

	"guavacrank.example/config"
	"guavacrank.example/config/edit"
	"guavacrank.example/daemon/revision"
	"guavacrank.example/kvstore"
)

// Code classifies a rejected request.
type Code string

// Codes of rejected requests. All except CodeUnknownOutcome mean that nothing was
// changed.
const (
	CodeTokenRefused     Code = "token_refused"
	CodeUnknownPath      Code = "unknown_path"
	CodeMalformed        Code = "malformed"
	CodeTooLarge         Code = "too_large"
	CodeBusy             Code = "busy"
	CodeInvalid          Code = "invalid" // Problem.Faults lists the errors in the configuration.
	CodeNotFound         Code = "not_found"
	CodeConflict         Code = "conflict" // Problem.Conflict describes the revision in force.
	CodeStoreUnavailable Code = "store_unavailable"
	CodeUnknownOutcome   Code = "unknown_outcome"
)

// statuses maps codes to HTTP status codes.
var statuses = map[Code]int{
	CodeTokenRefused:     http.StatusUnauthorized,
	CodeUnknownPath:      http.StatusNotFound,
	CodeMalformed:        http.StatusBadRequest,
	CodeTooLarge:         http.StatusRequestEntityTooLarge,
	CodeBusy:             http.StatusTooManyRequests,
	CodeInvalid:          http.StatusUnprocessableEntity,
	CodeNotFound:         http.StatusNotFound,
	CodeConflict:         http.StatusConflict,
	CodeStoreUnavailable: http.StatusServiceUnavailable,
	CodeUnknownOutcome:   http.StatusGatewayTimeout,
}

// Problem is the response body of a rejected request. It is an error.
type Problem struct {
	Code    Code   `json:"code"`
	Message string `json:"message"`
	// ChangeID identifies a change whose outcome is unknown. Sending the change
	// again with this identifier determines the outcome.
	ChangeID string                  `json:"change_id,omitempty"`
	Faults   []config.Error          `json:"faults,omitempty"`
	Conflict *revision.ConflictError `json:"conflict,omitempty"`
}

// Error implements error.
func (p *Problem) Error() string {
	if len(p.Faults) == 0 {
		return p.Message
	}
	lines := make([]string, 0, len(p.Faults))
	for _, fault := range p.Faults {
		lines = append(lines, fault.Error())
	}
	return strings.Join(lines, "\n")
}

// Status returns the HTTP status code.
func (p *Problem) Status() int { return statuses[p.Code] }

// problemf returns a problem with a message.
func problemf(code Code, format string, args ...any) *Problem {
	return &Problem{Code: code, Message: fmt.Sprintf(format, args...)}
}

// problemOf converts the error of a request to a Problem.
func problemOf(err error) *Problem {
	var problem *Problem
	var conflict *revision.ConflictError
	var unknown *revision.UnknownOutcomeError
	var notFound *revision.NotFoundError
	var editFailed *edit.Error
	switch {
	case errors.As(err, &problem):
		return problem
	case errors.As(err, &conflict):
		return &Problem{Code: CodeConflict, Message: err.Error(), Conflict: conflict}
	case errors.As(err, &unknown):
		return &Problem{Code: CodeUnknownOutcome, Message: err.Error(), ChangeID: unknown.ChangeID}
	case errors.As(err, &notFound), errors.As(err, &editFailed):
		return &Problem{Code: CodeNotFound, Message: err.Error()}
	}
	if faults := faultsOf(err); len(faults) > 0 {
		return &Problem{Code: CodeInvalid, Message: err.Error(), Faults: faults}
	}
	var failure *kvstore.Error
	if errors.As(err, &failure) && failure.Kind == kvstore.KindTooLarge {
		return &Problem{Code: CodeTooLarge, Message: err.Error()}
	}
	return &Problem{Code: CodeStoreUnavailable, Message: "nothing was changed: " + err.Error()}
}

// faultsOf returns the *config.Error values that err is or joins.
func faultsOf(err error) []config.Error {
	var list []error
	if joined, ok := err.(interface{ Unwrap() []error }); ok {
		list = joined.Unwrap()
	} else {
		list = []error{err}
	}
	var faults []config.Error
	for _, single := range list {
		var fault *config.Error
		if errors.As(single, &fault) {
			faults = append(faults, *fault)
		}
	}
	return faults
}
