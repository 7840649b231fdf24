package soak

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"jackdawswitch/quickstart"
)

// TestSlowBodyIsRefused guards against a request body that never arrives completely
// and would hold its connection open. The caller must get a refusal with the run
// state not_run within 30 s, and the router must serve other requests.
func TestSlowBodyIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 1, 2, 1)
		defer w.close()
		time.Sleep(10 * time.Second)
		conn, err := w.network.Host("slow").Dial(context.Background(), w.layout.Routers[0].CallerAddress)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = conn.Close() }()
		_, err = io.WriteString(conn, "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer "+
			quickstart.APIKey+"\r\nContent-Length: 100\r\n\r\n{\"model\"")
		if err != nil {
			t.Fatal(err)
		}
		started := time.Now()
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			t.Fatal(err)
		}
		var errorResponse struct {
			Error struct {
				Code     string `json:"code"`
				RunState string `json:"run_state"`
			} `json:"error"`
		}
		if err := json.NewDecoder(resp.Body).Decode(&errorResponse); err != nil {
			t.Error(err)
		}
		_ = resp.Body.Close()
		waited := time.Since(started)
		got := errorResponse.Error
		if resp.StatusCode != http.StatusBadRequest || got.Code != "malformed_request" || got.RunState != "not_run" {
			t.Errorf("got status %d, %+v; want 400, malformed_request, not_run", resp.StatusCode, got)
		}
		if waited > 30*time.Second {
			t.Errorf("refused after %s, want at most 30 s", waited)
		}
		client, transport := w.client(0)
		defer transport.CloseIdleConnections()
		if _, err := client.Chat(context.Background(), "", "after the slow one", 4); err != nil {
			t.Error(err)
		}
	})
}
