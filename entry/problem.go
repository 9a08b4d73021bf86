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
	problemType  = "application/problem+json"
	problemSpace = "https://hawthornrill.example/problems/"
)

// Problem is an RFC 9457 problem document.
type Problem struct {
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail,omitempty"`
	// Outcome tells what became of the request.
	Outcome domain.Outcome `json:"outcome"`
	// Code is the last part of Type.
	Code string `json:"code"`
	// Field names the part of the request that is wrong.
	Field string `json:"field,omitempty"`
	// Key is the request's key, for a retry or GET /v1/requests/{key}.
	Key string `json:"key,omitempty"`
	// Repeatable tells for a plain call whether the operators allow it to be
	// repeated under another key.
	Repeatable *bool `json:"repeatable,omitempty"`
	// Summary repeats the detail in the shape that clients of model APIs show.
	Summary problemSummary `json:"error"`

	retryAfter time.Duration
}

// Error returns the detail; handlers return problems as errors.
func (p *Problem) Error() string { return p.Detail }

type problemSummary struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    string `json:"code"`
}

func newProblem(status int, code string, outcome domain.Outcome, detail string) *Problem {
	return &Problem{
		Type:    problemSpace + code,
		Title:   http.StatusText(status),
		Status:  status,
		Detail:  detail,
		Outcome: outcome,
		Code:    code,
		Summary: problemSummary{Message: detail, Type: string(outcome), Code: code},
	}
}

// invalid is a request that could not be run as it is, now or before.
func invalid(status int, code, field, format string, args ...any) *Problem {
	p := newProblem(status, code, domain.OutcomeNotRun, fmt.Sprintf(format, args...))
	p.Field = field
	return p
}

// endProblem translates how a request ended.
func endProblem(end answer.End) *Problem {
	p := newProblem(statusOf(end), string(end.Code), end.Outcome, end.Reason)
	p.retryAfter = end.RetryAfter
	return p
}

func statusOf(end answer.End) int {
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

func (p *Problem) headers(h http.Header) {
	if p.retryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(p.retryAfter.Seconds()))))
	}
	h.Set("Content-Type", problemType)
	h.Set("Cache-Control", "no-store")
	h.Del("Content-Length")
}

func (p *Problem) encode() []byte {
	// A Problem consists of strings and numbers, which always encode.
	body, _ := json.Marshal(p)
	return body
}

func (p *Problem) write(w http.ResponseWriter) {
	p.headers(w.Header())
	w.WriteHeader(p.Status)
	_, _ = w.Write(p.encode())
}

// HandleError is the echo.HTTPErrorHandler that writes problem documents.
func HandleError(err error, c echo.Context) {
	if c.Response().Committed {
		return
	}
	problemOf(err).write(c.Response())
}

func problemOf(err error) *Problem {
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
