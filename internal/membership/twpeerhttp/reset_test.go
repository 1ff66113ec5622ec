package twpeerhttp_test

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/turmericwall/turmericwall"
	"github.com/turmericwall/turmericwall/internal/membership/twpeerhttp"
)

const (
	// uploadBytes is more than the sockets of both sides hold, so that the upload lasts until the peer ends it.
	uploadBytes = 32 << 20
	// uploadTries is the number of exchanges that the peer resets: which side notices a reset first is a matter of chance.
	uploadTries = 60
)

// Guards against a part of an answer that counts as the whole one, since the write of an exchange took the error of its connection's reset.
func TestAnswerThatAPeerResetsDuringTheUploadIsNotComplete(t *testing.T) {
	address := barePeer(t, func(connection *net.TCPConn, _ *http.Request) {
		_, _ = io.WriteString(connection, "HTTP/1.1 200 OK\r\n\r\n"+`{"status":200,"length":-1,"framing":"chunks"}`+"\npart")
		time.Sleep(30 * time.Millisecond)
		_ = connection.SetLinger(0)
	})
	complete := 0
	for range uploadTries {
		answer, err := twpeerhttp.NewClient(nil).Exchange(t.Context(), address, exchangeTarget, turmericwall.UpstreamRequest{
			Method: http.MethodPost, Head: []byte("POST / HTTP/1.1\r\n\r\n"), Body: make([]byte, uploadBytes), CallID: "c",
		})
		if err != nil {
			continue
		}
		if _, err := io.ReadAll(answer.Body); err == nil {
			complete++
		}
		_ = answer.Body.Close()
	}
	NewWithT(t).Expect(complete).To(BeZero(), "of %d answers", uploadTries)
}
