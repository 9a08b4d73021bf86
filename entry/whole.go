package entry

import (
	"net/http"
	"time"

	"github.com/labstack/echo/v4"

	"hawthornrill.example/hawthornrill/answer"
	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/scheduler"
)

// collect reads a model's answer to its end.
func (s *Server) collect(r *http.Request, handle *scheduler.Handle) (*completion, *Problem) {
	reader := newAnswerReader(r, handle, answer.Position{}, s.options.KeepAliveInterval)
	defer reader.close()
	whole := newCompletion()
	for {
		batch, err := reader.next()
		if err != nil {
			return nil, readProblem(err)
		}
		for _, chunk := range batch.Chunks {
			if err := whole.add(chunk.Data); err != nil {
				return nil, notJSON()
			}
		}
		if batch.End == nil {
			continue
		}
		if !batch.End.Complete() {
			return nil, endProblem(*batch.End)
		}
		whole.complete()
		return whole, nil
	}
}

func notJSON() *Problem {
	return newProblem(http.StatusBadGateway, string(answer.CodeBroken), domain.OutcomeRan, "the endpoint sent an event that is not JSON")
}

// writeCompletion answers without streaming.
func (s *Server) writeCompletion(c echo.Context, handle *scheduler.Handle, id identity) error {
	whole, problem := s.collect(c.Request(), handle)
	if problem != nil {
		problem.Key = id.key.Client
		return problem
	}
	_ = http.NewResponseController(c.Response()).SetWriteDeadline(time.Now().Add(s.options.WriteTimeout))
	return c.JSON(http.StatusOK, whole)
}
