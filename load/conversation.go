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

// chatBody is the body of a model request. AnswerTokens is an extension field of the
// stand-in engine: the actual length of the answer, which max_tokens only bounds.
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

// conversation generates the turns of one conversation. Times and answers do not depend
// on the responses of a run, so that every policy gets the same requests.
type conversation struct {
	random       *rand.Rand
	model        string
	source       *Source
	organisation *config.OrganisationRow
	tier         *config.TierRow
	dataCentre   domain.DataCentre
	name         string
	messages     []chatMessage
	tokens       int
}

// start sets the system prompt, which all conversations of the organisation share.
func (c *conversation) start(systemPrompt string) {
	c.messages = []chatMessage{{Role: "system", Content: systemPrompt}}
	c.tokens = prefix.Tokens(len(systemPrompt))
}

// nextRequest returns the request of the next turn, to be sent at the given time.
func (c *conversation) nextRequest(number int, at time.Duration) (Request, error) {
	kind := pickKind(c.random, c.source.Kinds)
	tokensBefore := c.tokens
	c.appendMessage("user", randomText(c.random, kind.drawLength(c.random, kind.MeanQuestionTokens)))
	answerTokens := kind.drawLength(c.random, kind.MeanAnswerTokens)
	body, err := json.Marshal(chatBody{
		Model:        c.model,
		Messages:     c.messages,
		MaxTokens:    maxLengthFactor * kind.MeanAnswerTokens,
		AnswerTokens: answerTokens,
		Stream:       true,
	})
	if err != nil {
		return Request{}, fmt.Errorf("load: encode request body: %w", err)
	}
	expected, err := engine.ExpectedAnswer(body)
	if err != nil {
		return Request{}, fmt.Errorf("load: compute expected answer: %w", err)
	}
	r := Request{
		Key:              fmt.Sprintf("%s-%d", c.name, number),
		Kind:             kind.Name,
		Organisation:     c.organisation.ID,
		Tier:             c.tier.Rank,
		DataCentre:       c.dataCentre,
		At:               at,
		Timeout:          kind.Timeout,
		FirstTokenTarget: time.Duration(c.tier.FirstTokenMillis) * time.Millisecond,
		Method:           "POST",
		Path:             chatPath,
		Body:             body,
		PromptTokens:     c.tokens,
		NewTokens:        c.tokens - tokensBefore,
		AnswerTokens:     len(expected.Tokens),
	}
	c.appendMessage("assistant", expected.Text())
	return r, nil
}

func (c *conversation) appendMessage(role, content string) {
	c.messages = append(c.messages, chatMessage{Role: role, Content: content})
	c.tokens += prefix.Tokens(len(content))
}
