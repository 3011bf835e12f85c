package workload

import (
	"context"
	"net/http"
)

// NewHTTPClient makes a client that follows at most the given number of redirects, times out after a second and
// reuses no connections.
func NewHTTPClient(redirects int) *http.Client {
	return &http.Client{
		Timeout:   callTimeout,
		Transport: &http.Transport{DisableKeepAlives: true},
		CheckRedirect: func(_ *http.Request, via []*http.Request) error {
			if len(via) > redirects {
				return http.ErrUseLastResponse
			}
			return nil
		},
	}
}

// IsLeading reports whether the controller at this address leads: it answers without a redirect.
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
