package strictjson

import "strings"

// nearest returns the name closest to key, or "" if none is close enough to
// be a likely misspelling. Keys that differ in case only are the closest.
func nearest(key string, names []string) string {
	best, bestDistance := "", len(key)/3+2
	for _, name := range names {
		if d := editDistance(strings.ToLower(key), name); d < bestDistance {
			best, bestDistance = name, d
		}
	}
	return best
}

// maxKeyBytes bounds the work spent on a misspelt key.
const maxKeyBytes = 100

// editDistance is the Levenshtein distance in bytes.
func editDistance(a, b string) int {
	if len(a) > maxKeyBytes {
		return len(a)
	}
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := range len(a) {
		diagonal := row[0]
		row[0] = i + 1
		for j := range len(b) {
			cost := diagonal
			if a[i] != b[j] {
				cost++
			}
			diagonal = row[j+1]
			row[j+1] = min(cost, row[j]+1, row[j+1]+1)
		}
	}
	return row[len(b)]
}
