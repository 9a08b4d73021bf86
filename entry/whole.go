package entry

import (
	"net/http"
	"time"

	"github.com/labstack/echo/v4"

	"hawthornrill.example/hawthornrill/answer"
	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/scheduler"
)

// collectCompletion reads a model's answer to its end and merges its events.
func (s *Server) collectCompletion(r *http.Request, handle *scheduler.Handle) (*completion, *Problem) {
	reader := newAnswerReader(r, handle, answer.Position{}, s.options.KeepAliveInterval)
	defer reader.close()
	result := newCompletion()
	for {
		batch, err := reader.next()
		if err != nil {
			return nil, problemFromReadError(err)
		}
		for _, chunk := range batch.Chunks {
			if err := result.addEvent(chunk.Data); err != nil {
				return nil, invalidEventProblem()
			}
		}
		if batch.End == nil {
			continue
		}
		if !batch.End.Complete() {
			return nil, problemFromEnd(*batch.End)
		}
		result.finish()
		return result, nil
	}
}

func invalidEventProblem() *Problem {
	return newProblem(http.StatusBadGateway, string(answer.CodeBroken), domain.OutcomeRan, "the endpoint sent an event that is not JSON")
}

// writeCompletion writes the answer to a request without streaming as one JSON
// document.
func (s *Server) writeCompletion(c echo.Context, handle *scheduler.Handle, id requestIdentity) error {
	result, problem := s.collectCompletion(c.Request(), handle)
	if problem != nil {
		problem.Key = id.key.Client
		return problem
	}
	_ = http.NewResponseController(c.Response()).SetWriteDeadline(time.Now().Add(s.options.WriteTimeout))
	return c.JSON(http.StatusOK, result)
}
