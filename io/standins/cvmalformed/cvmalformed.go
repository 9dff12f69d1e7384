// Package cvmalformed lists parts of responses that no caller may get.
package cvmalformed

// StatusLines returns status lines whose status is not three digits from 100 to 599, or that announces a change of
// protocols that nobody asked for.
func StatusLines() map[string]string {
	lines := make(map[string]string)
	for _, status := range []string{
		"000", "001", "042", "099", "101", "600", "999", "1000", "20", "2", "0200", "abc", "2x0", "+20", "-20", "1e2", "0x1", "", "2 00", "٢٠٠",
	} {
		lines["status "+status] = "HTTP/1.1 " + status + " Odd"
		lines["status "+status+", no reason"] = "HTTP/1.1 " + status
	}
	return lines
}
