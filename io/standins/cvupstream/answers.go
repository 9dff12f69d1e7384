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

// lineOverhead is the longest line of a file beside its path.
const lineOverhead = 32

// answer is the body of an ordinary answer.
type answer struct {
	Upstream string `json:"upstream"`
	Path     string `json:"path"`
	Tag      string `json:"tag"`
	Key      string `json:"key,omitempty"`
	Run      int    `json:"run,omitempty"`
}

func (u *Upstream) answer(w http.ResponseWriter, r *http.Request, run int) {
	if size, err := strconv.Atoi(r.URL.Query().Get("bytes")); err == nil && size > 0 {
		u.file(w, r, size)
		return
	}
	body := u.body(r, run)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	// A failed write only concerns the connection.
	_, _ = w.Write(body)
}

func (u *Upstream) body(r *http.Request, run int) []byte {
	a := answer{Upstream: u.Name, Path: r.URL.Path, Tag: r.Header.Get("X-Tag"), Key: r.Header.Get("Idempotency-Key"), Run: run}
	// The struct holds texts and a number alone, which always encode.
	body, _ := json.Marshal(a)
	return body
}

// file answers with content that depends on the path alone, with an ETag and ranges.
func (u *Upstream) file(w http.ResponseWriter, r *http.Request, size int) {
	content := FileContent(r.URL.Path, size)
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("ETag", entityTag(content))
	http.ServeContent(w, r, "", time.Time{}, bytes.NewReader(content))
}

// entityTag is the strong entity tag of a content.
func entityTag(content []byte) string {
	digest := sha256.Sum256(content)
	return `"` + hex.EncodeToString(digest[:8]) + `"`
}

// FileContent is the file of a path, in the given size: lines that carry the path and their number.
func FileContent(path string, size int) []byte {
	content := make([]byte, 0, size+len(path)+lineOverhead)
	for line := int64(0); len(content) < size; line++ {
		content = append(content, path...)
		content = append(content, " line "...)
		content = strconv.AppendInt(content, line, 10)
		content = append(content, '\n')
	}
	return content[:size]
}
