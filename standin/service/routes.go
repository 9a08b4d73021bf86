package service

import (
	"io"
	"net/http"
	"strconv"

	"github.com/labstack/echo/v4"

	"hawthornrill.example/hawthornrill/standin/api"
)

// maxTextBytes is the maximum length of the text of a job or quote.
const maxTextBytes = 1 << 20

func (s *Service) addRoutes() {
	s.router.Use(s.simulateCall)
	s.router.GET("/catalogue/:item", s.getItem)
	s.router.GET("/jobs", s.listJobs)
	s.router.GET("/jobs/:id", s.getJob)
	s.router.POST("/jobs", s.saveJob)
	s.router.POST("/quotes", s.priceQuote)
	s.router.GET("/scoreboard", s.getScoreboard)
	s.router.POST("/scores", s.addScore)
	s.router.POST("/unlocks", s.unlock)
	s.router.Any("/echo", s.echo)
}

// item is a catalogue entry generated from its name.
type item struct {
	Item       string `json:"item"`
	PriceCents int    `json:"price_cents"`
}

func (s *Service) getItem(c echo.Context) error {
	name := api.PathValue(c, "item")
	return c.JSON(http.StatusOK, item{Item: name, PriceCents: 1000 + 100*len(name)})
}

func (s *Service) listJobs(c echo.Context) error {
	s.mu.Lock()
	jobs := append([]Job{}, s.data.jobs...)
	s.mu.Unlock()
	return c.JSON(http.StatusOK, jobs)
}

func (s *Service) getJob(c echo.Context) error {
	id, err := strconv.Atoi(c.Param("id"))
	s.mu.Lock()
	found := err == nil && id >= 1 && id <= len(s.data.jobs)
	var job Job
	if found {
		job = s.data.jobs[id-1]
	}
	s.mu.Unlock()
	if !found {
		return echo.NewHTTPError(http.StatusNotFound, "no such job")
	}
	return c.JSON(http.StatusOK, job)
}

func (s *Service) saveJob(c echo.Context) error {
	text, err := readText(c)
	if err != nil {
		return err
	}
	s.mu.Lock()
	job := Job{ID: len(s.data.jobs) + 1, Text: text}
	s.data.jobs = append(s.data.jobs, job)
	s.mu.Unlock()
	return c.JSON(http.StatusCreated, job)
}

func (s *Service) priceQuote(c echo.Context) error {
	text, err := readText(c)
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.data.quotes++
	quote := Quote{Number: s.data.quotes, Text: text}
	s.mu.Unlock()
	return c.JSON(http.StatusCreated, quote)
}

func (s *Service) getScoreboard(c echo.Context) error {
	s.mu.Lock()
	scores := s.data.scoreboard()
	s.mu.Unlock()
	return c.JSON(http.StatusOK, scores)
}

func (s *Service) addScore(c echo.Context) error {
	var score Score
	if err := api.DecodeStrict(c, &score); err != nil {
		return err
	}
	s.mu.Lock()
	s.data.scores[score.Team] += score.Points
	score.Points = s.data.scores[score.Team]
	s.mu.Unlock()
	return c.JSON(http.StatusOK, score)
}

func (s *Service) unlock(c echo.Context) error {
	var unlock Unlock
	if err := api.DecodeStrict(c, &unlock); err != nil {
		return err
	}
	s.mu.Lock()
	s.data.unlocks[unlock]++
	response := UnlockResponse{Unlock: unlock, Uses: s.data.unlocks[unlock]}
	s.mu.Unlock()
	return c.JSON(http.StatusOK, response)
}

// echo streams the request body back.
func (s *Service) echo(c echo.Context) error {
	// The error is ignored: without full-duplex support the request body is read
	// before the response is written.
	_ = http.NewResponseController(c.Response()).EnableFullDuplex()
	contentType := c.Request().Header.Get(echo.HeaderContentType)
	return c.Stream(http.StatusOK, contentType, c.Request().Body)
}

func readText(c echo.Context) (string, error) {
	text, err := io.ReadAll(http.MaxBytesReader(c.Response(), c.Request().Body, maxTextBytes))
	return string(text), err
}
