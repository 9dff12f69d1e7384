package cvupstream

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"strconv"
	"time"
)

// maxLineSuffixBytes is the maximum length of the part of a line that follows the path.
const maxLineSuffixBytes = 32

type responseBody struct {
	Upstream string `json:"upstream"`
	Path     string `json:"path"`
	Tag      string `json:"tag"`
	Key      string `json:"key,omitempty"`
	Run      int    `json:"run,omitempty"`
}

func (u *Upstream) writeResponse(w http.ResponseWriter, r *http.Request, run int) {
	if size, err := strconv.Atoi(r.URL.Query().Get("bytes")); err == nil && size > 0 {
		u.serveFile(w, r, size)
		return
	}
	body := u.encodeBody(r, run)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	// A failed write affects this connection only.
	_, _ = w.Write(body)
}

func (u *Upstream) encodeBody(r *http.Request, run int) []byte {
	rb := responseBody{Upstream: u.Name, Path: r.URL.Path, Tag: r.Header.Get("X-Tag"), Key: r.Header.Get("Idempotency-Key"), Run: run}
	// Encoding cannot fail: the struct holds only strings and a number.
	body, _ := json.Marshal(rb)
	return body
}

// serveFile supports range requests; the content depends only on the path and the size.
func (u *Upstream) serveFile(w http.ResponseWriter, r *http.Request, size int) {
	content := FileContent(r.URL.Path, size)
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("ETag", entityTag(content))
	http.ServeContent(w, r, "", time.Time{}, bytes.NewReader(content))
}

func entityTag(content []byte) string {
	digest := sha256.Sum256(content)
	return `"` + hex.EncodeToString(digest[:8]) + `"`
}

// FileContent returns the content of the file with the given path and size in bytes. Each line holds the path and the
// line number.
func FileContent(path string, size int) []byte {
	content := make([]byte, 0, size+len(path)+maxLineSuffixBytes)
	for line := int64(0); len(content) < size; line++ {
		content = append(content, path...)
		content = append(content, " line "...)
		content = strconv.AppendInt(content, line, 10)
		content = append(content, '\n')
	}
	return content[:size]
}
