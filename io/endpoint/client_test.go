package endpoint_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"carawaycart/io/endpoint"
)

// An endpoint sends a second copy of its answer, late, when the connection may be in use
// again. Guards against a caller that gets the answer to the request of another.
func TestLateCopyOfAnswerIsNotTakenForTheNext(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go answerTwice(conn)
		}
	}()
	client := endpoint.NewClient()
	defer client.Close()
	address := listener.Addr().(*net.TCPAddr).AddrPort()
	for n := range 5 {
		want := fmt.Sprint("/order/", n)
		request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://desk"+want, nil)
		if err != nil {
			t.Fatal(err)
		}
		response, err := client.Do(request, address)
		if err != nil {
			t.Fatal(err)
		}
		body, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		if err != nil || string(body) != want {
			t.Errorf("got answer %q, %v, want %q", body, err, want)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// answerTwice answers each request on conn with its path. Before it answers the next, it
// repeats the answer before.
func answerTwice(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader, last := bufio.NewReader(conn), ""
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(request.URL.Path), request.URL.Path)
		if _, err := io.WriteString(conn, last+answer); err != nil {
			return
		}
		last = answer
	}
}
