//go:build review

package main

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// answer is what a client saw of one request.
type answer struct {
	// status is 0 if there was no answer.
	status int
	stamp  string
	// events are the events delivered, complete is set if the answer had its end.
	events   int
	complete bool
}

// newClient returns a client with connections of its own.
func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 4}}
}

// generate sends a request for a generation and reads its stream.
func generate(ctx context.Context, client *http.Client, to *router, route, id string, prompt, output int, deadline time.Duration) answer {
	ctx, cancel := context.WithTimeout(ctx, deadline)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+to.callers+"/"+route+"/x", strings.NewReader("prompt of "+id))
	if err != nil {
		return answer{}
	}
	req.Host = "h.example"
	req.Header.Set(headerRequestID, id)
	req.Header.Set(headerKey, clientKey)
	req.Header.Set(headerDeadline, strconv.FormatInt(deadline.Milliseconds(), 10))
	req.Header.Set("X-Jackdawswitch-Model", "m")
	req.Header.Set(headerUsage, fmt.Sprintf("%d,%d", prompt, output))
	req.Header.Set("X-Jackdawswitch-Prompt-Prefix", fmt.Sprintf("%x:%d", id, prompt))
	resp, err := client.Do(req)
	if err != nil {
		return answer{}
	}
	defer func() { _ = resp.Body.Close() }()
	a := answer{status: resp.StatusCode, stamp: resp.Header.Get(headerStamp)}
	scanner := bufio.NewScanner(resp.Body)
	for scanner.Scan() {
		if strings.HasPrefix(scanner.Text(), "data:") {
			a.events++
		}
	}
	a.complete = scanner.Err() == nil
	return a
}
