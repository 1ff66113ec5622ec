// Package twresponse rejects responses that net/http's parser accepts although HTTP/1 doesn't allow them. Where such a response ends, and
// what it says, is a guess.
package twresponse

import (
	"fmt"
	"net/http"
)

// Transport is an http.RoundTripper that returns an error in place of a malformed response.
type Transport struct{ next http.RoundTripper }

// New returns a transport that sends requests with the next one.
func New(next http.RoundTripper) *Transport { return &Transport{next: next} }

// RoundTrip sends a request. After a malformed response the connection is closed.
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

// Check returns an error if the head of the response is malformed.
//
// Statuses from 600 up are no error: they count as failures of the server (RFC 9110, section 15).
func Check(response *http.Response) error {
	if response.StatusCode < http.StatusContinue {
		return fmt.Errorf("malformed response: status %.20q", response.Status)
	}
	return nil
}
