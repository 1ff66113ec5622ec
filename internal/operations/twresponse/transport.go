// Package twresponse rejects responses that net/http's parser accepts although HTTP/1 doesn't allow them. Where such a response ends, and
// what it says, is a guess.
package twresponse

import (
	"fmt"
	"io"
	"net/http"

	"golang.org/x/net/http/httpguts"
)

// maxQuotedBytes bounds what an error quotes of a response.
const maxQuotedBytes = 40

// Transport is an http.RoundTripper that returns an error in place of a malformed response.
type Transport struct{ next http.RoundTripper }

// New returns a transport that sends requests with the next one.
func New(next http.RoundTripper) *Transport { return &Transport{next: next} }

// RoundTrip sends a request. The body of a malformed response is closed unread.
func (t *Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	response, err := t.next.RoundTrip(request)
	if err != nil {
		return nil, err
	}
	if err := Check(response); err != nil {
		_ = response.Body.Close()
		return nil, err
	}
	return response, nil
}

// Check returns an error if the head of the response is malformed. The body returns one in place of io.EOF if the fields after it are.
//
// Statuses from 600 up are no error: they count as failures of the server (RFC 9110, section 15).
func Check(response *http.Response) error {
	if response.StatusCode < http.StatusContinue {
		return fmt.Errorf("malformed response: status %.*q", maxQuotedBytes, response.Status)
	}
	if err := CheckFields(response.Header); err != nil {
		return err
	}
	if len(response.TransferEncoding) > 0 {
		response.Body = &body{ReadCloser: response.Body, response: response}
	}
	return nil
}

// CheckFields returns an error if the name of a field isn't a token.
//
// The parser accepts a blank in a name. "Content-Length : 2" is then a field that nobody reads, and the body ends elsewhere.
func CheckFields(header http.Header) error {
	for name := range header {
		if !httpguts.ValidHeaderFieldName(name) {
			return fmt.Errorf("malformed response: field name %.*q", maxQuotedBytes, name)
		}
	}
	return nil
}

// body is a body in chunks, after which more fields may come.
type body struct {
	io.ReadCloser
	response *http.Response
}

// Read reads the body. It returns io.EOF only if the fields after the last chunk are well-formed.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		if malformed := CheckFields(b.response.Trailer); malformed != nil {
			return n, malformed
		}
	}
	return n, err
}
