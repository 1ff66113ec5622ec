// Package twcompletion parses the bodies of completion calls, plain and chat, and encodes their answers in the format
// that clients of completions expect. The edge parses a call with it before placement and encodes each token or the
// complete answer with it.
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

// Completion is one parsed and checked call.
type Completion struct {
	chat         bool
	model        string
	prompt       string
	maxTokens    int
	stream       bool
	includeUsage bool
}

// requestBody holds the fields of a completion call that the daemon uses.
type requestBody struct {
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

// Parse reads and checks a call's body; fields that the daemon does not use are ignored. It fails with KindBadRequest,
// or with KindTooLarge for a prompt over 1 MiB.
func Parse(body []byte, chat bool) (*Completion, error) {
	var call requestBody
	if err := json.Unmarshal(body, &call); err != nil {
		return nil, badRequest(fmt.Sprintf("the body is not the JSON of a completion: %v", err))
	}
	c := &Completion{chat: chat, model: call.Model, stream: call.Stream, includeUsage: call.StreamOptions.IncludeUsage}
	if c.model == "" {
		return nil, badRequest("model is missing")
	}
	if call.N != nil && *call.N != 1 {
		return nil, badRequest("n must be 1")
	}
	var err error
	if c.maxTokens, err = tokenLimit(call); err != nil {
		return nil, err
	}
	if c.prompt, err = promptText(call, chat); err != nil {
		return nil, err
	}
	if len(c.prompt) > maxPromptBytes {
		return nil, turmericwall.NewProblem(turmericwall.KindTooLarge,
			fmt.Sprintf("the prompt has %d bytes, more than %d", len(c.prompt), maxPromptBytes), "shorten the prompt")
	}
	return c, nil
}

// Model returns the model that the caller asks for.
func (c *Completion) Model() string { return c.model }

// Prompt returns the text that is sent to the engines; the messages of a chat are joined into one text.
func (c *Completion) Prompt() string { return c.prompt }

// MaxTokens returns the most tokens that the answer may have.
func (c *Completion) MaxTokens() int { return c.maxTokens }

// Stream reports whether the caller wants the answer token by token.
func (c *Completion) Stream() bool { return c.stream }

// Chat reports whether the call is a chat completion rather than a plain one.
func (c *Completion) Chat() bool { return c.chat }

// IncludeUsage reports whether the last chunk of a stream must contain the token counts.
func (c *Completion) IncludeUsage() bool { return c.includeUsage }

// EncodeAnswer returns the body of a complete, unstreamed answer.
func (c *Completion) EncodeAnswer(id string, created time.Time, text string, usage turmericwall.Usage) ([]byte, error) {
	answer := answerBody{
		ID: completionID(c.chat, id), Object: objectName(c.chat, false), Created: created.Unix(), Model: c.model,
		Usage: &usage,
	}
	choice := answerChoice{FinishReason: finishReason(usage, c.maxTokens)}
	if c.chat {
		choice.Message = &chatText{Role: "assistant", Content: text}
	} else {
		choice.Text = &text
	}
	answer.Choices = []answerChoice{choice}
	return json.Marshal(answer)
}

// EncodeChunk returns the body of one streamed token.
func (c *Completion) EncodeChunk(id string, created time.Time, text string) ([]byte, error) {
	return json.Marshal(c.newChunk(id, created, answerChoice{}, text))
}

// EncodeLastChunk returns the body of the chunk that ends a stream: the finish reason and, if the caller asked for
// them, the token counts.
func (c *Completion) EncodeLastChunk(id string, created time.Time, usage turmericwall.Usage) ([]byte, error) {
	body := c.newChunk(id, created, answerChoice{FinishReason: finishReason(usage, c.maxTokens)}, "")
	if c.includeUsage {
		body.Usage = &usage
	}
	return json.Marshal(body)
}

func (c *Completion) newChunk(id string, created time.Time, choice answerChoice, text string) answerBody {
	if c.chat {
		choice.Delta = &chatText{Role: "assistant", Content: text}
	} else {
		choice.Text = &text
	}
	return answerBody{
		ID: completionID(c.chat, id), Object: objectName(c.chat, true), Created: created.Unix(), Model: c.model,
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
	Index        int       `json:"index"`
	Text         *string   `json:"text,omitempty"`
	Message      *chatText `json:"message,omitempty"`
	Delta        *chatText `json:"delta,omitempty"`
	FinishReason *string   `json:"finish_reason"`
}

type chatText struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

func completionID(chat bool, id string) string {
	if chat {
		return "chatcmpl-" + id
	}
	return "cmpl-" + id
}

func objectName(chat, chunk bool) string {
	switch {
	case chat && chunk:
		return "chat.completion.chunk"
	case chat:
		return "chat.completion"
	default:
		return "text_completion"
	}
}

// finishReason returns "length" for an answer that reached the token limit, and otherwise "stop".
func finishReason(usage turmericwall.Usage, maxTokens int) *string {
	finish := "stop"
	if usage.CompletionTokens >= maxTokens {
		finish = "length"
	}
	return &finish
}

// tokenLimit returns the most tokens that the answer may have. max_completion_tokens takes precedence over max_tokens.
func tokenLimit(call requestBody) (int, error) {
	limit := call.MaxTokens
	if call.MaxCompletionTokens != nil {
		limit = call.MaxCompletionTokens
	}
	if limit == nil {
		return defaultMaxTokens, nil
	}
	if *limit < 1 || *limit > maxTokensLimit {
		return 0, badRequest(fmt.Sprintf("max_tokens is %d, not between 1 and %d", *limit, maxTokensLimit))
	}
	return *limit, nil
}

func promptText(call requestBody, chat bool) (string, error) {
	if chat {
		return chatPrompt(call.Messages)
	}
	var prompt string
	if json.Unmarshal(call.Prompt, &prompt) != nil || prompt == "" {
		return "", badRequest("prompt must be a text that is not empty")
	}
	return prompt, nil
}

// chatPrompt joins the messages into one prompt, each after a marker of its role, and ends it with the marker of the
// assistant's answer.
func chatPrompt(messages []message) (string, error) {
	if len(messages) == 0 {
		return "", badRequest("messages must hold at least one message")
	}
	var prompt strings.Builder
	for i, m := range messages {
		text, err := messageText(m)
		if err != nil {
			return "", badRequest(fmt.Sprintf("messages[%d]: %v", i, err))
		}
		prompt.WriteString("<|" + m.Role + "|>\n" + text + "\n")
	}
	prompt.WriteString("<|assistant|>\n")
	return prompt.String(), nil
}

// messageText returns a message's content, which is a text or a list of text parts.
func messageText(m message) (string, error) {
	var text string
	if json.Unmarshal(m.Content, &text) == nil {
		return text, nil
	}
	var parts []contentPart
	if err := json.Unmarshal(m.Content, &parts); err != nil {
		return "", fmt.Errorf("content must be a text or a list of text parts")
	}
	var content strings.Builder
	for _, p := range parts {
		if p.Type != "text" {
			return "", fmt.Errorf("content part %q is not a text", p.Type)
		}
		content.WriteString(p.Text)
	}
	return content.String(), nil
}

func badRequest(detail string) error {
	return turmericwall.NewProblem(turmericwall.KindBadRequest, detail, "correct the body and send it again")
}

// ForStoredAnswer returns the completion that encodes the stored answer of a deferrable request.
func ForStoredAnswer(chat bool, model string, maxTokens int) *Completion {
	return &Completion{chat: chat, model: model, maxTokens: maxTokens}
}
