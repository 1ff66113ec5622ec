package twupstreamfeed_test

import (
	"bytes"
	"errors"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/turmericwall/turmericwall"
	"github.com/turmericwall/turmericwall/internal/membership/twupstreamfeed"
	"github.com/turmericwall/turmericwall/internal/membership/twupstreams"
	"github.com/turmericwall/turmericwall/internal/operations/tweventlog"
)

// decoder decodes each row but those with the value "odd".
type decoder struct{ turmericwall.Decoder }

func (decoder) Upstream(id string, value []byte) (turmericwall.Upstream, error) {
	if string(value) == "odd" {
		return turmericwall.Upstream{}, errors.New("odd entry")
	}
	return turmericwall.Upstream{ID: id, Service: "s", Address: "1.2.3.4:5"}, nil
}

// Guards against a line for each read and each change of an entry that can't be decoded, and against others that are lost with it.
func TestOddEntryIsLoggedOnce(t *testing.T) {
	g := NewWithT(t)
	var logged bytes.Buffer
	view := twupstreams.New(twupstreams.Config{})
	f := twupstreamfeed.New(twupstreamfeed.Config{View: view, Decoder: decoder{}, Recorder: tweventlog.New(tweventlog.Config{Output: &logged})})
	lines := func() int { return bytes.Count(logged.Bytes(), []byte(`"event":8003`)) }
	version := int64(0)
	rows := func(value string) turmericwall.Snapshot {
		version++
		return turmericwall.Snapshot{Version: version, Rows: []turmericwall.FeedRow{
			{Key: "i-1", Value: []byte("sound"), Version: version}, {Key: "i-2", Value: []byte(value), Version: version},
		}}
	}
	for range 5 {
		f.Reset(time.Now(), rows("odd"))
		f.Change(time.Now(), rows("odd"))
	}
	g.Expect(lines()).To(Equal(1))
	g.Expect(view.All()).To(HaveLen(1))
	f.Change(time.Now(), rows("sound"))
	g.Expect(view.All()).To(HaveLen(2))
	f.Change(time.Now(), rows("odd"))
	g.Expect(lines()).To(Equal(2))
	version++
	f.Change(time.Now(), turmericwall.Snapshot{Version: version, Rows: []turmericwall.FeedRow{{Key: "i-2", Removed: true, Version: version}}})
	f.Change(time.Now(), rows("odd"))
	g.Expect(lines()).To(Equal(3))
}
