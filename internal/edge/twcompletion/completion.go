// Package twcompletion reads and writes the bodies of completions, plain and chat.
package twcompletion

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/turmericwall/turmericwall"
)

// Limits of one completion.
const (
	defaultMaxTokens = 256
	maxTokensLimit   = 32_768
	maxPromptBytes   = 1 << 20
)

// Completion is one parsed call.
type Completion struct {
	chat      bool
	model     string
	prompt    string
	maxTokens int
	stream    bool
	usage     bool
}

type callBody struct {
	Model               string          `json:"model"`
	Prompt              json.RawMessage `json:"prompt"`
	Messages            []message       `json:"messages"`
	MaxTokens           *int            `json:"max_tokens"`
	MaxCompletionTokens *int            `json:"max_completion_tokens"`
	N                   *int            `json:"n"`
	Stream              bool            `json:"stream"`
	StreamOptions       struct {
		IncludeUsage bool `json:"include_usage"`
	} `json:"stream_options"`
}

type message struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

type contentPart struct {
	Type string `json:"type"`
	Text string `json:"text"`
}

// Parse reads a call's body. Fields that it does not use are left to the clients that send them.
func Parse(body []byte, chat bool) (*Completion, error) {
	var call callBody
	if err := json.Unmarshal(body, &call); err != nil {
		return nil, bad(fmt.Sprintf("the body is not the JSON of a completion: %v", err))
	}
	c := &Completion{chat: chat, model: call.Model, stream: call.Stream, usage: call.StreamOptions.IncludeUsage}
	if c.model == "" {
		return nil, bad("model is missing")
	}
	if call.N != nil && *call.N != 1 {
		return nil, bad("n must be 1")
	}
	var err error
	if c.maxTokens, err = tokenLimit(call); err != nil {
		return nil, err
	}
	if c.prompt, err = promptOf(call, chat); err != nil {
		return nil, err
	}
	if len(c.prompt) > maxPromptBytes {
		return nil, turmericwall.NewProblem(turmericwall.KindTooLarge,
			fmt.Sprintf("the prompt has %d bytes, more than %d", len(c.prompt), maxPromptBytes), "shorten the prompt")
	}
	return c, nil
}

// Model is the model that the caller asks for.
func (c *Completion) Model() string { return c.model }

// Prompt is the text that the engines get.
func (c *Completion) Prompt() string { return c.prompt }

// MaxTokens bounds the answer.
func (c *Completion) MaxTokens() int { return c.maxTokens }

// Stream tells whether the answer goes out token by token.
func (c *Completion) Stream() bool { return c.stream }

// Chat tells a chat completion from a plain one.
func (c *Completion) Chat() bool { return c.chat }

// IncludeUsage tells whether a stream ends with the token counts.
func (c *Completion) IncludeUsage() bool { return c.usage }

// Whole is the body of an answer that is not streamed.
func (c *Completion) Whole(id string, created time.Time, text string, usage turmericwall.Usage) ([]byte, error) {
	answer := answerBody{ID: idOf(c.chat, id), Object: objectOf(c.chat, false), Created: created.Unix(), Model: c.model, Usage: &usage}
	choice := answerChoice{Finish: finishOf(usage, c.maxTokens)}
	if c.chat {
		choice.Message = &chatText{Role: "assistant", Content: text}
	} else {
		choice.Text = &text
	}
	answer.Choices = []answerChoice{choice}
	return json.Marshal(answer)
}

// Chunk is the body of one streamed token.
func (c *Completion) Chunk(id string, created time.Time, text string) ([]byte, error) {
	return json.Marshal(c.chunk(id, created, answerChoice{}, text))
}

// LastChunk is the body of the chunk that ends a stream.
func (c *Completion) LastChunk(id string, created time.Time, usage turmericwall.Usage) ([]byte, error) {
	body := c.chunk(id, created, answerChoice{Finish: finishOf(usage, c.maxTokens)}, "")
	if c.usage {
		body.Usage = &usage
	}
	return json.Marshal(body)
}

func (c *Completion) chunk(id string, created time.Time, choice answerChoice, text string) answerBody {
	if c.chat {
		choice.Delta = &chatText{Role: "assistant", Content: text}
	} else {
		choice.Text = &text
	}
	return answerBody{
		ID: idOf(c.chat, id), Object: objectOf(c.chat, true), Created: created.Unix(), Model: c.model,
		Choices: []answerChoice{choice},
	}
}

type answerBody struct {
	ID      string              `json:"id"`
	Object  string              `json:"object"`
	Created int64               `json:"created"`
	Model   string              `json:"model"`
	Choices []answerChoice      `json:"choices"`
	Usage   *turmericwall.Usage `json:"usage,omitempty"`
}

type answerChoice struct {
	Index   int       `json:"index"`
	Text    *string   `json:"text,omitempty"`
	Message *chatText `json:"message,omitempty"`
	Delta   *chatText `json:"delta,omitempty"`
	Finish  *string   `json:"finish_reason"`
}

type chatText struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

func idOf(chat bool, id string) string {
	if chat {
		return "chatcmpl-" + id
	}
	return "cmpl-" + id
}

func objectOf(chat, chunk bool) string {
	switch {
	case chat && chunk:
		return "chat.completion.chunk"
	case chat:
		return "chat.completion"
	default:
		return "text_completion"
	}
}

func finishOf(usage turmericwall.Usage, maxTokens int) *string {
	finish := "stop"
	if usage.CompletionTokens >= maxTokens {
		finish = "length"
	}
	return &finish
}

func tokenLimit(call callBody) (int, error) {
	limit := call.MaxTokens
	if call.MaxCompletionTokens != nil {
		limit = call.MaxCompletionTokens
	}
	if limit == nil {
		return defaultMaxTokens, nil
	}
	if *limit < 1 || *limit > maxTokensLimit {
		return 0, bad(fmt.Sprintf("max_tokens is %d, not between 1 and %d", *limit, maxTokensLimit))
	}
	return *limit, nil
}

func promptOf(call callBody, chat bool) (string, error) {
	if chat {
		return chatPrompt(call.Messages)
	}
	var prompt string
	if json.Unmarshal(call.Prompt, &prompt) != nil || prompt == "" {
		return "", bad("prompt must be a text that is not empty")
	}
	return prompt, nil
}

// chatPrompt lays the messages out as one text, each with its role.
func chatPrompt(messages []message) (string, error) {
	if len(messages) == 0 {
		return "", bad("messages must hold at least one message")
	}
	var prompt strings.Builder
	for i, m := range messages {
		text, err := messageText(m)
		if err != nil {
			return "", bad(fmt.Sprintf("messages[%d]: %v", i, err))
		}
		prompt.WriteString("<|" + m.Role + "|>\n" + text + "\n")
	}
	prompt.WriteString("<|assistant|>\n")
	return prompt.String(), nil
}

func messageText(m message) (string, error) {
	var text string
	if json.Unmarshal(m.Content, &text) == nil {
		return text, nil
	}
	var parts []contentPart
	if err := json.Unmarshal(m.Content, &parts); err != nil {
		return "", fmt.Errorf("content must be a text or a list of text parts")
	}
	var all strings.Builder
	for _, p := range parts {
		if p.Type != "text" {
			return "", fmt.Errorf("content part %q is not a text", p.Type)
		}
		all.WriteString(p.Text)
	}
	return all.String(), nil
}

func bad(detail string) error {
	return turmericwall.NewProblem(turmericwall.KindBadRequest, detail, "correct the body and send it again")
}

// Stored is the call of an answer that was kept.
func Stored(chat bool, model string, maxTokens int) *Completion {
	return &Completion{chat: chat, model: model, maxTokens: maxTokens}
}
