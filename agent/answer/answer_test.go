package answer_test

import (
	"bytes"
	"context"
	"errors"
	"math/rand/v2"
	"runtime"
	"sync"
	"testing"

	"github.com/zeebo/xxh3"

	"jackdawswitch/agent/answer"
)

func readAll(ctx context.Context, b *answer.Buffer, offset int64, limit int) ([]byte, error) {
	var got []byte
	for {
		data, err := b.Next(ctx, offset+int64(len(got)), limit)
		if err != nil || len(data) == 0 {
			return got, err
		}
		got = append(got, data...)
	}
}

// Guards against lost or reordered bytes for readers that start at different
// offsets while the response is written, and checks reads after Forget.
func TestReadersReceiveTheCompleteResponse(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	want := make([]byte, 100_000)
	for i := range want {
		want[i] = byte(rng.Uint32())
	}
	buffer := answer.New()
	var readers sync.WaitGroup
	for i := range 8 {
		readers.Go(func() {
			offset := int64(i * 11_111)
			got, err := readAll(t.Context(), buffer, offset, 1+i*500)
			if err != nil || !bytes.Equal(got, want[offset:]) {
				t.Errorf("reader from %d: %d bytes, %v", offset, len(got), err)
			}
		})
	}
	buffer.Start(200, "text/plain")
	for rest := want; len(rest) > 0; {
		n := min(len(rest), rng.IntN(2000))
		_, _ = buffer.Write(rest[:n])
		rest = rest[n:]
	}
	buffer.Close()
	readers.Wait()
	summary := buffer.Summary()
	if summary.Length != int64(len(want)) || summary.Checksum != xxh3.Hash(want) {
		t.Errorf("wrong length or checksum: %+v", summary)
	}
	buffer.Forget()
	var ferr *answer.ForgottenError
	if _, err := readAll(t.Context(), buffer, 5, 100); !errors.As(err, &ferr) {
		t.Errorf("read of forgotten bytes: %v", err)
	}
	if got, err := readAll(t.Context(), buffer, summary.Length, 100); len(got) != 0 || err != nil {
		t.Errorf("read at the end of a forgotten response: %q, %v", got, err)
	}
}

func TestReaderStopsWithItsContext(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if _, err := answer.New().Next(ctx, 0, 1); !errors.Is(err, context.Canceled) {
		t.Errorf("got %v, want context.Canceled", err)
	}
	if _, err := answer.New().WaitStart(ctx); !errors.Is(err, context.Canceled) {
		t.Errorf("got %v, want context.Canceled", err)
	}
}

const (
	chunkBytes        = 200
	chunksPerResponse = 450
)

// BenchmarkRelay measures the time of writing one chunk and reading it once.
func BenchmarkRelay(b *testing.B) {
	buffer := answer.New()
	buffer.Start(200, "text/event-stream")
	data := make([]byte, chunkBytes)
	offset := int64(0)
	b.ReportAllocs()
	for range b.N {
		if offset == chunkBytes*chunksPerResponse {
			buffer = answer.New()
			buffer.Start(200, "text/event-stream")
			offset = 0
		}
		_, _ = buffer.Write(data)
		if _, err := buffer.Next(b.Context(), offset, chunkBytes); err != nil {
			b.Fatal(err)
		}
		offset += chunkBytes
	}
}

// BenchmarkBufferOverhead reports the memory that a Buffer needs beyond the bytes of
// its response.
func BenchmarkBufferOverhead(b *testing.B) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	buffers := make([]*answer.Buffer, b.N)
	for i := range buffers {
		buffers[i] = answer.New()
		buffers[i].Start(200, "text/event-stream")
		for range 32 {
			_, _ = buffers[i].Write(make([]byte, chunkBytes))
		}
		buffers[i].Close()
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(b.N)-32*chunkBytes, "B/answer-overhead")
	runtime.KeepAlive(buffers)
}
