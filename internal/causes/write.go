package causes

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

// Write prints the report as tables, with at most rows combinations of properties; all of them
// if rows is 0.
func (r Report) Write(w io.Writer, rows int) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	r.writeTotals(t)
	r.writeCounts(t)
	r.writeCauses(t, rows)
	r.writePredictions(t)
	return t.Flush()
}

func (r Report) writeTotals(w io.Writer) {
	row(w, "outcome", "requests", "share", "refused_first")
	all := 0
	for _, t := range r.Totals {
		all += t.Requests
	}
	for _, t := range r.Totals {
		row(w, t.Outcome, t.Requests, percent(float64(t.Requests)/float64(max(1, all))), t.RefusedFirst)
	}
	row(w)
}

func (r Report) writeCounts(w io.Writer) {
	row(w, "by", "value", "not_in_time")
	for _, c := range r.Counts {
		row(w, c.By, c.Value, c.Requests)
	}
	row(w)
}

func (r Report) writeCauses(w io.Writer, rows int) {
	row(w, "not_in_time", strings.Join(properties, "\t"))
	shown := r.Causes
	if rows > 0 {
		shown = shown[:min(rows, len(shown))]
	}
	for _, c := range shown {
		row(w, c.Requests, strings.Join(c.values(), "\t"))
	}
	more := 0
	for _, c := range r.Causes[len(shown):] {
		more += c.Requests
	}
	if more > 0 {
		row(w, more, fmt.Sprintf("(%d more rows)", len(r.Causes)-len(shown)))
	}
	row(w)
}

func (r Report) writePredictions(w io.Writer) {
	row(w, "predicted_ms", "requests", "first_p50_ms", "first_p90_ms", "over_target")
	for _, p := range r.Predictions {
		row(w, p.Range, p.Requests, p.P50, p.P90, percent(p.OverTarget))
	}
	row(w)
	row(w, "report_age_ms", "requests", "mean_error_ms", fmt.Sprintf("later_by_%d_ms", laterThan))
	for _, a := range r.ReportAges {
		row(w, a.Range, a.Requests, fmt.Sprintf("%.0f", a.MeanError), percent(a.Later))
	}
}

// row prints a row of a table.
func row(w io.Writer, cells ...any) {
	for i, c := range cells {
		if i > 0 {
			_, _ = fmt.Fprint(w, "\t")
		}
		_, _ = fmt.Fprint(w, c)
	}
	_, _ = fmt.Fprintln(w)
}

func percent(share float64) string { return fmt.Sprintf("%.1f%%", 100*share) }
