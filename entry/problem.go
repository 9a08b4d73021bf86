package entry

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"

	"hawthornrill.example/hawthornrill/answer"
	"hawthornrill.example/hawthornrill/domain"
)

const (
	problemContentType = "application/problem+json"
	problemTypePrefix  = "https://hawthornrill.example/problems/"
)

// Problem is an RFC 9457 problem document.
type Problem struct {
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail,omitempty"`
	// Outcome says whether the request was run.
	Outcome domain.Outcome `json:"outcome"`
	// Code is the last part of Type.
	Code string `json:"code"`
	// Field names the invalid part of the request.
	Field string `json:"field,omitempty"`
	// Key is the request's key, for a retry or GET /v1/requests/{key}.
	Key string `json:"key,omitempty"`
	// Repeatable is set for service calls: whether the configuration allows the call
	// to be repeated under another key.
	Repeatable *bool `json:"repeatable,omitempty"`
	// Summary repeats the detail in the error format that clients of model APIs
	// display.
	Summary problemSummary `json:"error"`

	retryAfter time.Duration
}

// Error implements error. Handlers return problems as errors.
func (p *Problem) Error() string { return p.Detail }

type problemSummary struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    string `json:"code"`
}

func newProblem(status int, code string, outcome domain.Outcome, detail string) *Problem {
	return &Problem{
		Type:    problemTypePrefix + code,
		Title:   http.StatusText(status),
		Status:  status,
		Detail:  detail,
		Outcome: outcome,
		Code:    code,
		Summary: problemSummary{Message: detail, Type: string(outcome), Code: code},
	}
}

// invalidRequest returns the problem of a request that can't run at any time, and
// so was not run by an earlier attempt either.
func invalidRequest(status int, code, field, format string, args ...any) *Problem {
	p := newProblem(status, code, domain.OutcomeNotRun, fmt.Sprintf(format, args...))
	p.Field = field
	return p
}

// problemFromEnd converts the end of an incomplete answer into a problem.
func problemFromEnd(end answer.End) *Problem {
	p := newProblem(statusFromEnd(end), string(end.Code), end.Outcome, end.Reason)
	p.retryAfter = end.RetryAfter
	return p
}

func statusFromEnd(end answer.End) int {
	switch end.Code {
	case answer.CodeLimited:
		return http.StatusTooManyRequests
	case answer.CodeKeyReused, answer.CodeQuarantined:
		return http.StatusUnprocessableEntity
	case answer.CodeRefused, answer.CodeBroken:
		return http.StatusBadGateway
	case answer.CodeCancelled:
		return http.StatusConflict
	case answer.CodeNotHeld:
		return http.StatusGone
	case answer.CodeDeadline:
		if end.Outcome == domain.OutcomeRan {
			return http.StatusGatewayTimeout
		}
		return http.StatusServiceUnavailable
	default:
		return http.StatusServiceUnavailable
	}
}

func (p *Problem) setHeaders(h http.Header) {
	if p.retryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(p.retryAfter.Seconds()))))
	}
	h.Set("Content-Type", problemContentType)
	h.Set("Cache-Control", "no-store")
	h.Del("Content-Length")
}

func (p *Problem) encode() []byte {
	// A Problem contains only types whose encoding can't fail.
	body, _ := json.Marshal(p)
	return body
}

func (p *Problem) write(w http.ResponseWriter) {
	p.setHeaders(w.Header())
	w.WriteHeader(p.Status)
	_, _ = w.Write(p.encode())
}

// HandleError is an echo.HTTPErrorHandler that writes problem documents.
func HandleError(err error, c echo.Context) {
	if c.Response().Committed {
		return
	}
	problemFromError(err).write(c.Response())
}

func problemFromError(err error) *Problem {
	var p *Problem
	if errors.As(err, &p) {
		return p
	}
	var h *echo.HTTPError
	if errors.As(err, &h) && h.Code < http.StatusInternalServerError {
		return newProblem(h.Code, "http_"+strconv.Itoa(h.Code), domain.OutcomeNotRun, http.StatusText(h.Code))
	}
	return newProblem(http.StatusInternalServerError, "internal", domain.OutcomeUnknown, "internal error")
}
