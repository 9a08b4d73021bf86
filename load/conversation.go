package load

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"time"

	"hawthornrill.example/hawthornrill/config"
	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/prefix"
	"hawthornrill.example/hawthornrill/standin/engine"
)

const chatPath = "/v1/chat/completions"

// chatBody is the body of a model request. AnswerTokens is the stand-in engine's
// own field: the answer's true length, which max_tokens only bounds.
type chatBody struct {
	Model        string        `json:"model"`
	Messages     []chatMessage `json:"messages"`
	MaxTokens    int           `json:"max_tokens"`
	AnswerTokens int           `json:"answer_tokens"`
	Stream       bool          `json:"stream"`
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// conversation makes the turns of one conversation. The turns' times and answers
// do not depend on how a run goes, so that every policy gets the same requests.
type conversation struct {
	random   *rand.Rand
	model    string
	source   *Source
	row      *config.OrganisationRow
	tier     *config.TierRow
	place    domain.DataCentre
	name     string
	messages []chatMessage
	tokens   int
}

// begin starts with the organisation's instructions, which all its conversations
// share.
func (c *conversation) begin(guide string) {
	c.messages = []chatMessage{{Role: "system", Content: guide}}
	c.tokens = prefix.Tokens(len(guide))
}

// turn returns the next request, sent at the given time.
func (c *conversation) turn(number int, at time.Duration) (Request, error) {
	kind := pick(c.random, c.source.Kinds)
	before := c.tokens
	c.say("user", text(c.random, kind.length(c.random, kind.QuestionTokens)))
	answer := kind.length(c.random, kind.AnswerTokens)
	body, err := json.Marshal(chatBody{
		Model:        c.model,
		Messages:     c.messages,
		MaxTokens:    mostTimesMean * kind.AnswerTokens,
		AnswerTokens: answer,
		Stream:       true,
	})
	if err != nil {
		return Request{}, fmt.Errorf("load: body: %w", err)
	}
	expected, err := engine.ExpectedAnswer(body)
	if err != nil {
		return Request{}, fmt.Errorf("load: %w", err)
	}
	r := Request{
		Key:              fmt.Sprintf("%s-%d", c.name, number),
		Kind:             kind.Name,
		Organisation:     c.row.ID,
		Tier:             c.tier.Rank,
		DataCentre:       c.place,
		At:               at,
		Timeout:          kind.Timeout,
		FirstTokenTarget: time.Duration(c.tier.FirstTokenMillis) * time.Millisecond,
		Method:           "POST",
		Path:             chatPath,
		Body:             body,
		PromptTokens:     c.tokens,
		NewTokens:        c.tokens - before,
		AnswerTokens:     len(expected.Tokens),
	}
	c.say("assistant", expected.Text())
	return r, nil
}

func (c *conversation) say(role, content string) {
	c.messages = append(c.messages, chatMessage{Role: role, Content: content})
	c.tokens += prefix.Tokens(len(content))
}
