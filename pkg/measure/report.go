package measure

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"strings"

	"github.com/cobaltcroft/cobaltcroft/pkg/config"
	"github.com/cobaltcroft/cobaltcroft/pkg/problem"
)

// The markers between which a page's tables stand.
const (
	tablesBegin = "<!-- tables: written by cobaltcroft-load report -->"
	tablesEnd   = "<!-- end of tables -->"
)

// AppendRow adds a row to a file of JSON lines.
func AppendRow(path string, row Row) error {
	file, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer file.Close()
	return json.NewEncoder(file).Encode(row)
}

// Report replaces the tables of a page by those of the rows in a file.
func Report(results, page string) error {
	rows, err := readRows(results)
	if err != nil {
		return err
	}
	text, err := os.ReadFile(page)
	if err != nil {
		return err
	}
	before, rest, ok := strings.Cut(string(text), tablesBegin)
	_, after, okEnd := strings.Cut(rest, tablesEnd)
	if !ok || !okEnd {
		return problem.New(problem.Invalid, "put the markers back", "page %s lacks the markers of the tables", page)
	}
	return os.WriteFile(page, []byte(before+tablesBegin+"\n"+tables(rows)+tablesEnd+after), 0o644)
}

func readRows(path string) ([]Row, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	var rows []Row
	lines := bufio.NewScanner(bytes.NewReader(data))
	for lines.Scan() {
		var row Row
		if err := json.Unmarshal(lines.Bytes(), &row); err != nil {
			return nil, err
		}
		rows = append(rows, row)
	}
	return rows, lines.Err()
}

// tables gives one table for each fleet, a line for each trace and policy.
func tables(rows []Row) string {
	var b strings.Builder
	fleet, name := "", ""
	for _, r := range rows {
		if r.Fleet != fleet {
			fleet = r.Fleet
			fmt.Fprintf(&b, "\n## %s\n\n", fleet)
			b.WriteString("| trace | policy | offered | answered | not run | unknown | attainment | others | enc. | retr. | rer. | gen. | wasted | of spent |\n")
			b.WriteString("| --- | --- | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: |\n")
		}
		shown := r.Trace
		if r.Trace == name {
			shown = ""
		}
		name = r.Trace
		fmt.Fprintf(&b, "| %s | %s | %d | %d | %d | %d | %.3f | %.3f | %.3f | %.3f | %.3f | %.3f | %.2f | %.1f %% |\n",
			shown, r.Policy, r.Offered, r.Answered, r.NotRun, r.Unknown, r.Attainment(), r.OthersAttainment,
			r.Cost[config.Encoding], r.Cost[config.Retrieval], r.Cost[config.Reranking], r.Cost[config.Generation], r.Wasted, 100*r.Wasted/max(r.Spent, 1e-9))
	}
	b.WriteString("\n")
	return b.String()
}
