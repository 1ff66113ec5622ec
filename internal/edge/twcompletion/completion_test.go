package twcompletion_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/turmericwall/turmericwall"
	"github.com/turmericwall/turmericwall/internal/edge/twcompletion"
)

func TestChatMessagesAreJoinedIntoOnePrompt(t *testing.T) {
	g := NewWithT(t)
	c, err := twcompletion.Parse([]byte(`{"model":"m","messages":[
		{"role":"system","content":"be short"},
		{"role":"user","content":[{"type":"text","text":"which "},{"type":"text","text":"tables?"}]}]}`), true)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(c.Prompt()).To(Equal("<|system|>\nbe short\n<|user|>\nwhich tables?\n<|assistant|>\n"))
}

func TestUnstreamedAnswerFollowsTheCompletionsFormat(t *testing.T) {
	g := NewWithT(t)
	c, err := twcompletion.Parse([]byte(`{"model":"m","prompt":"p","max_tokens":2}`), false)
	g.Expect(err).NotTo(HaveOccurred())
	body, err := c.EncodeAnswer("1", time.Unix(7, 0), " a b", turmericwall.Usage{PromptTokens: 1, CompletionTokens: 2, TotalTokens: 3})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(body).To(MatchJSON(`{"id":"cmpl-1","object":"text_completion","created":7,"model":"m",
		"choices":[{"index":0,"text":" a b","finish_reason":"length"}],
		"usage":{"prompt_tokens":1,"completion_tokens":2,"total_tokens":3}}`))
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(`{"model":"m","prompt":"p","max_tokens":2}`), false)
	f.Add([]byte(`{"model":"m","messages":[{"role":"user","content":"p"}]}`), true)
	f.Add([]byte(`{"model":"m","messages":[{"role":"user","content":{}}],"max_tokens":-9223372036854775808}`), true)
	f.Fuzz(func(t *testing.T, body []byte, chat bool) {
		c, err := twcompletion.Parse(body, chat)
		if err != nil {
			if !turmericwall.IsKind(err, turmericwall.KindBadRequest) && !turmericwall.IsKind(err, turmericwall.KindTooLarge) {
				t.Fatalf("an error without a kind: %v", err)
			}
			return
		}
		if c.Prompt() == "" || c.MaxTokens() < 1 || c.Model() == "" {
			t.Fatalf("accepted a completion without a prompt, token limit or model: %q", body)
		}
	})
}
