package harness

import (
	"bufio"
	"context"
	"net/http"
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

// Metric returns the sum of the process's metric samples whose name and labels start
// with prefix.
func (p *Process) Metric(ctx context.Context, prefix string) (float64, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, p.URL("ops")+"/metrics", nil)
	if err != nil {
		return 0, errors.Wrap(err, "build request")
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, errors.Wrap(err, "read metrics")
	}
	defer resp.Body.Close()
	sum := 0.0
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		name, value, ok := strings.Cut(lines.Text(), " ")
		if !ok || !strings.HasPrefix(name, prefix) {
			continue
		}
		v, err := strconv.ParseFloat(value, 64)
		if err != nil {
			return 0, errors.Wrapf(err, "metric %s", name)
		}
		sum += v
	}
	return sum, errors.Wrap(lines.Err(), "read metrics")
}
