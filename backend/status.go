package backend

import (
	"fmt"
	"net/http"
)

// maxStatus is the highest status of a response.
const maxStatus = 599

// CheckStatus returns an error if a response has a status that no final response
// has. 101 is not one, since no request asks for another protocol.
func CheckStatus(r *http.Response) error {
	if r.StatusCode < http.StatusOK || r.StatusCode > maxStatus {
		return fmt.Errorf("response has the invalid status %q", r.Status)
	}
	return nil
}

// isInformational reports whether another response follows.
func isInformational(status int) bool {
	return status >= http.StatusContinue && status < http.StatusOK && status != http.StatusSwitchingProtocols
}
