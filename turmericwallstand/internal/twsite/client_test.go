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

// Guards against answers that an unmodified OpenAI client library can't read: it lists the models, gets a chat
// completion at once and as a stream, and sees the error for a model that is not declared.
func TestStockClientWorksUnchanged(t *testing.T) {
	g := NewWithT(t)
	example := twexample.Sonnenmatt()
	site, err := twsite.New(t.Context(), twsite.Config{
		Example: example, Daemons: 1, Prefill: 1, Decode: 1, Policy: "leader", Log: io.Discard, Engine: twenginestand.Config{StepMillis: 1},
	})
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { g.Expect(site.Close()).To(Succeed()) }()
	client := openai.NewClient(option.WithAPIKey(example.Key()),
		option.WithBaseURL("http://"+site.CallerAddresses()[0]+"/v1/"), option.WithMaxRetries(0))
	models, err := client.Models.List(t.Context())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(models.Data[0].ID).To(Equal(example.Model()))
	params := openai.ChatCompletionNewParams{
		Model: example.Model(), MaxTokens: openai.Int(5), Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage("how was the day?")},
	}
	expected := twenginestand.Answer("<|user|>\nhow was the day?\n<|assistant|>\n", 5)
	complete, err := client.Chat.Completions.New(t.Context(), params)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(complete.Choices[0].Message.Content).To(Equal(expected))
	g.Expect(complete.Usage.CompletionTokens).To(Equal(int64(5)))
	stream := client.Chat.Completions.NewStreaming(t.Context(), params)
	var text string
	for stream.Next() {
		text += stream.Current().Choices[0].Delta.Content
	}
	g.Expect(stream.Err()).NotTo(HaveOccurred())
	g.Expect(text).To(Equal(expected))
	params.Model = "none"
	_, err = client.Chat.Completions.New(t.Context(), params)
	g.Expect(err).To(MatchError(ContainSubstring("not declared")))
}
