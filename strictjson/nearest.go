package strictjson

import "strings"

// nearest returns the name with the smallest edit distance from key, or "" if
// the distance is too large for a misspelling. The case of key is ignored.
func nearest(key string, names []string) string {
	best, bestDistance := "", len(key)/3+2
	for _, name := range names {
		if d := editDistance(strings.ToLower(key), name); d < bestDistance {
			best, bestDistance = name, d
		}
	}
	return best
}

// maxKeyBytes limits the time spent on a misspelt key.
const maxKeyBytes = 100

// editDistance returns the Levenshtein distance in bytes, or len(a) if a is
// longer than maxKeyBytes.
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
