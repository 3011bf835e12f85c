package workload

import (
	"context"
	"net/http"
)

// NewHTTPClient makes a client that follows so many redirects, gives up after a second and keeps no connections.
func NewHTTPClient(redirects int) *http.Client {
	return &http.Client{
		Timeout:   orderWait,
		Transport: &http.Transport{DisableKeepAlives: true},
		CheckRedirect: func(_ *http.Request, via []*http.Request) error {
			if len(via) > redirects {
				return http.ErrUseLastResponse
			}
			return nil
		},
	}
}

// IsLeading tells whether the controller at this address leads: it answers, without sending the caller on.
func IsLeading(ctx context.Context, address string) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/config/fetch", nil)
	if err != nil {
		return false
	}
	response, err := NewHTTPClient(0).Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode < http.StatusInternalServerError && response.StatusCode != http.StatusTemporaryRedirect
}
