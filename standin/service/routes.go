package service

import (
	"io"
	"net/http"
	"strconv"

	"github.com/labstack/echo/v4"

	"hawthornrill.example/hawthornrill/standin/api"
)

// maxTextBytes bounds a job's or quote's text.
const maxTextBytes = 1 << 20

func (s *Service) addRoutes() {
	s.router.Use(s.serve)
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

// item is a made-up entry of the catalogue.
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
	known := err == nil && id >= 1 && id <= len(s.data.jobs)
	var job Job
	if known {
		job = s.data.jobs[id-1]
	}
	s.mu.Unlock()
	if !known {
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
	board := s.data.scoreboard()
	s.mu.Unlock()
	return c.JSON(http.StatusOK, board)
}

func (s *Service) addScore(c echo.Context) error {
	var points Score
	if err := api.DecodeStrict(c, &points); err != nil {
		return err
	}
	s.mu.Lock()
	s.data.scores[points.Team] += points.Points
	points.Points = s.data.scores[points.Team]
	s.mu.Unlock()
	return c.JSON(http.StatusOK, points)
}

func (s *Service) unlock(c echo.Context) error {
	var unlock Unlock
	if err := api.DecodeStrict(c, &unlock); err != nil {
		return err
	}
	s.mu.Lock()
	s.data.unlocks[unlock]++
	answer := UnlockResponse{Unlock: unlock, Uses: s.data.unlocks[unlock]}
	s.mu.Unlock()
	return c.JSON(http.StatusOK, answer)
}

// echo streams the body back.
func (s *Service) echo(c echo.Context) error {
	// Not every writer can do both ways at once; the others read first.
	_ = http.NewResponseController(c.Response()).EnableFullDuplex()
	contentType := c.Request().Header.Get(echo.HeaderContentType)
	return c.Stream(http.StatusOK, contentType, c.Request().Body)
}

func readText(c echo.Context) (string, error) {
	text, err := io.ReadAll(http.MaxBytesReader(c.Response(), c.Request().Body, maxTextBytes))
	return string(text), err
}
