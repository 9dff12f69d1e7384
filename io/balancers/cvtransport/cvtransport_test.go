package cvtransport_test

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"comfreyvale/io/balancers/cvtransport"
	"comfreyvale/io/standins/cvmalformed"
	"comfreyvale/io/standins/cvrawserver"
)

const soundResponse = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nsound"

// TestMalformedLines guards against a response with a malformed header or trailer that a client takes for sound, on new
// connections and on those that have carried a sound one, also in response to requests with a body.
func TestMalformedLines(t *testing.T) {
	var response string
	server := &cvrawserver.Server{Respond: func(request *http.Request) string {
		if request.URL.Path == "/sound" {
			return soundResponse
		}
		return response
	}}
	address, err := server.Start()
	require.NoError(t, err)
	defer server.Stop()
	for name, line := range cvmalformed.Lines() {
		responses := map[string]string{
			"of a head":    "HTTP/1.1 200 OK\r\nA: b\r\n" + line + "\r\nContent-Length: 4\r\n\r\ntext",
			"of a trailer": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ntext\r\n0\r\n" + line + "\r\n\r\n",
		}
		for place, text := range responses {
			for _, kept := range []bool{false, true} {
				t.Run(name+" "+place, func(t *testing.T) {
					response = text
					transport := cvtransport.New(&http.Transport{})
					defer transport.CloseIdleConnections()
					client := &http.Client{Transport: transport}
					if kept {
						requireSound(t, client, address)
					}
					// A body that cannot be sent again keeps net/http from a second attempt.
					_, err := post(client, address, "/malformed")
					require.Error(t, err)
					requireSound(t, client, address)
				})
			}
		}
	}
}

func post(client *http.Client, address, path string) (string, error) {
	body := io.MultiReader(strings.NewReader("body"))
	response, err := client.Post("http://"+address+path, "text/plain", body)
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	return string(content), err
}

func requireSound(t *testing.T, client *http.Client, address string) {
	content, err := post(client, address, "/sound")
	require.NoError(t, err)
	require.Equal(t, "sound", content)
}
