package harness

import (
	"bytes"
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"text/template"

	"github.com/pkg/errors"

	"github.com/saltbend/saltbend/test/upstream"
)

// configTemplate renders the configuration file of the test services.
var configTemplate = template.Must(template.New("config").Parse(`version: 1
services:
{{- range $name, $face := .Faces}}
  - name: {{$name}}
    faces: ["{{$face}}"]
    limits: {slots: {{$.Slots}}, queue: {{$.Queue}}, connections: 2000}
    health: {interval: 500ms, slow-start: 0s}
    drain: {timeout: {{$.Drain}}}
    classes:
      - {name: lookup, methods: [GET], path: "{{$.Lookup}}*", priority: 0, idempotent: true, deadline: 5s}
      - {name: feed, methods: [GET], path: "{{$.Feed}}", kind: feed, idempotent: true, resume: true}
      - {name: batch, methods: [POST], path: "{{$.Batch}}", priority: 1, deadline: {{$.Deadline}}}
      - {name: answer, methods: [POST], path: "{{$.Answer}}", priority: 1, deadline: {{$.Deadline}}}
      - {name: photo, methods: [PUT], path: "{{$.Upload}}*", kind: upload, priority: 2, idempotent: true, deadline: 30s}
{{- end}}
`))

// Values are the settings of the test services that tests vary.
type Values struct {
	Slots int
	Queue int
	// Drain and Deadline are durations in the syntax of the configuration file, such
	// as "5s".
	Drain    string
	Deadline string
}

// DefaultValues returns the values that most tests use.
func DefaultValues() Values {
	return Values{Slots: 5, Queue: 64, Drain: "1h", Deadline: "5s"}
}

// WriteConfig writes a configuration file with the given name and returns its path.
func (f *Fleet) WriteConfig(name string, v Values) (string, error) {
	var text bytes.Buffer
	err := configTemplate.Execute(&text, map[string]any{
		"Faces": f.Faces, "Slots": v.Slots, "Queue": v.Queue, "Drain": v.Drain, "Deadline": v.Deadline,
		"Lookup": upstream.PathLookup, "Feed": upstream.PathFeed, "Upload": upstream.PathUpload,
		"Batch": upstream.PathBatch, "Answer": upstream.PathAnswer,
	})
	if err != nil {
		return "", errors.Wrap(err, "render the configuration")
	}
	path := f.path(name)
	return path, errors.Wrap(os.WriteFile(path, text.Bytes(), 0o600), "write the configuration")
}

// Result is the exit code and the output of a run of the command-line tool.
type Result struct {
	Code           int
	Stdout, Stderr string
}

// CLI runs the command-line tool against the fleet.
func (f *Fleet) CLI(ctx context.Context, args ...string) (Result, error) {
	cmd := exec.CommandContext(ctx, filepath.Join(f.bin, "saltbend"), args...)
	var stdout, stderr bytes.Buffer
	cmd.Stdout, cmd.Stderr = &stdout, &stderr
	cmd.Env = append(append(os.Environ(), f.env...), "SALTBEND_STORE="+f.Store.URL("address"))
	var peers []string
	for _, b := range f.Balancers() {
		peers = append(peers, b.Address("control").String())
	}
	cmd.Env = append(cmd.Env, "SALTBEND_PEERS="+strings.Join(peers, ","))
	err := cmd.Run()
	var exit *exec.ExitError
	if err != nil && !errors.As(err, &exit) {
		return Result{}, errors.Wrap(err, "run saltbend")
	}
	return Result{Code: cmd.ProcessState.ExitCode(), Stdout: stdout.String(), Stderr: stderr.String()}, nil
}

// Apply applies a configuration and returns an error unless it is accepted.
func (f *Fleet) Apply(ctx context.Context, v Values) error {
	path, err := f.WriteConfig("config.yaml", v)
	if err != nil {
		return err
	}
	r, err := f.CLI(ctx, "apply", path)
	if err == nil && r.Code != 0 {
		err = errors.Errorf("saltbend apply: exit code %d\n%s%s", r.Code, r.Stdout, r.Stderr)
	}
	return err
}
