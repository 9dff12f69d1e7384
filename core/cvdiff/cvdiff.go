// Package cvdiff implements the line-by-line difference between two texts.
package cvdiff

import "strings"

// Diff holds the lines that were removed or added between two texts.
type Diff struct {
	lines []string
}

// New returns the difference between two texts.
func New(before, after string) Diff {
	a, b := splitLines(before), splitLines(after)
	lengths := subsequenceLengths(a, b)
	var d Diff
	i, j := 0, 0
	for i < len(a) || j < len(b) {
		switch {
		case i < len(a) && j < len(b) && a[i] == b[j]:
			i++
			j++
		case j == len(b) || (i < len(a) && lengths[i+1][j] >= lengths[i][j+1]):
			d.lines = append(d.lines, "- "+a[i])
			i++
		default:
			d.lines = append(d.lines, "+ "+b[j])
			j++
		}
	}
	return d
}

func splitLines(text string) []string {
	if text == "" {
		return nil
	}
	return strings.Split(strings.TrimSuffix(text, "\n"), "\n")
}

// subsequenceLengths returns, for each i and j, the length of the longest common subsequence of a[i:] and b[j:].
func subsequenceLengths(a, b []string) [][]int {
	lengths := make([][]int, len(a)+1)
	for i := range lengths {
		lengths[i] = make([]int, len(b)+1)
	}
	for i := len(a) - 1; i >= 0; i-- {
		for j := len(b) - 1; j >= 0; j-- {
			if a[i] == b[j] {
				lengths[i][j] = lengths[i+1][j+1] + 1
				continue
			}
			lengths[i][j] = max(lengths[i+1][j], lengths[i][j+1])
		}
	}
	return lengths
}

// Lines returns the removed lines with the prefix "- " and the added lines with the prefix "+ ".
func (d Diff) Lines() []string { return d.lines }

// Empty reports whether both texts have the same lines.
func (d Diff) Empty() bool { return len(d.lines) == 0 }
