package twfingerprint_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/turmericwall/turmericwall"
	"github.com/turmericwall/turmericwall/internal/delivery/twfingerprint"
)

func call(change func(c *turmericwall.RoutedCall)) turmericwall.RoutedCall {
	c := turmericwall.RoutedCall{
		ID: "1", Host: "h", Method: "POST", Target: "/a/b", Account: "x", Body: []byte("body"),
		Work:        turmericwall.ModelWork{PromptTokens: 10, MaxTokens: 20, HintTokens: 7, Subject: "s"},
		PromptParts: []string{"p", "q"},
	}
	change(&c)
	return c
}

func TestOnlyWhatIsAskedForDecides(t *testing.T) {
	for name, test := range map[string]struct {
		change func(c *turmericwall.RoutedCall)
		same   bool
	}{
		"another id":         {func(c *turmericwall.RoutedCall) { c.ID = "2" }, true},
		"another deadline":   {func(c *turmericwall.RoutedCall) { c.Deadline = time.Unix(9, 0) }, true},
		"a stream taken up":  {func(c *turmericwall.RoutedCall) { c.LastEvent, c.Resumes = 9, "1" }, true},
		"another hint":       {func(c *turmericwall.RoutedCall) { c.Work.HintTokens = 9 }, true},
		"another body":       {func(c *turmericwall.RoutedCall) { c.Body = []byte("bodz") }, false},
		"another target":     {func(c *turmericwall.RoutedCall) { c.Target = "/a/c" }, false},
		"another account":    {func(c *turmericwall.RoutedCall) { c.Account = "y" }, false},
		"another subject":    {func(c *turmericwall.RoutedCall) { c.Work.Subject = "t" }, false},
		"other parts":        {func(c *turmericwall.RoutedCall) { c.PromptParts = []string{"pq"} }, false},
		"a part in the body": {func(c *turmericwall.RoutedCall) { c.PromptParts, c.Body = []string{"p"}, []byte("qbody") }, false},
	} {
		t.Run(name, func(t *testing.T) {
			got := twfingerprint.Of(call(test.change)) == twfingerprint.Of(call(func(*turmericwall.RoutedCall) {}))
			NewWithT(t).Expect(got).To(Equal(test.same))
		})
	}
}
