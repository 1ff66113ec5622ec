package twsite_test

import (
	"io"
	"testing"

	. "github.com/onsi/gomega"
	"github.com/openai/openai-go"
	"github.com/openai/openai-go/option"

	"github.com/turmericwall/turmericwall/turmericwallstand/internal/twenginestand"
	"github.com/turmericwall/turmericwall/turmericwallstand/internal/twexample"
	"github.com/turmericwall/turmericwall/turmericwallstand/internal/twsite"
)

// A stock client library lists the models, and gets a chat completion whole and streamed, unchanged.
func TestStockClientWorksUnchanged(t *testing.T) {
	g := NewWithT(t)
	example := twexample.Sonnenmatt()
	site, err := twsite.New(t.Context(), twsite.Config{
		Example: example, Daemons: 1, Prefill: 1, Decode: 1, Policy: "leader", Log: io.Discard, Engine: twenginestand.Config{StepMillis: 1},
	})
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { g.Expect(site.Close()).To(Succeed()) }()
	client := openai.NewClient(option.WithAPIKey(example.Key()), option.WithBaseURL("http://"+site.Callers()[0]+"/v1/"), option.WithMaxRetries(0))
	models, err := client.Models.List(t.Context())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(models.Data[0].ID).To(Equal(example.Model()))
	ask := openai.ChatCompletionNewParams{
		Model: example.Model(), MaxTokens: openai.Int(5), Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage("how was the day?")},
	}
	expected := twenginestand.Answer("<|user|>\nhow was the day?\n<|assistant|>\n", 5)
	whole, err := client.Chat.Completions.New(t.Context(), ask)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(whole.Choices[0].Message.Content).To(Equal(expected))
	g.Expect(whole.Usage.CompletionTokens).To(Equal(int64(5)))
	stream := client.Chat.Completions.NewStreaming(t.Context(), ask)
	var text string
	for stream.Next() {
		text += stream.Current().Choices[0].Delta.Content
	}
	g.Expect(stream.Err()).NotTo(HaveOccurred())
	g.Expect(text).To(Equal(expected))
	ask.Model = "none"
	_, err = client.Chat.Completions.New(t.Context(), ask)
	g.Expect(err).To(MatchError(ContainSubstring("not declared")))
}
