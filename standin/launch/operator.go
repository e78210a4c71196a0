package launch

import (
	"encoding/json"
	"fmt"
	"strconv"
	"time"

	"github.com/pkg/errors"
)

// Keys of the platform rows that hold the table and its earlier versions.
const (
	tableKey   = "table"
	historyKey = "table_history/"
)

type tableRow struct {
	EditID string `json:"edit_id"`
	Author string `json:"author"`
	Time   string `json:"time"`
	CSV    string `json:"csv"`
}

type rowJSON struct {
	Key     string `json:"key"`
	Value   string `json:"value,omitempty"`
	Version uint64 `json:"version"`
}

type rowsJSON struct {
	Rows []rowJSON `json:"rows"`
}

type keysJSON struct {
	Keys []string `json:"keys"`
}

type checkJSON struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
}

type putJSON struct {
	Key   string `json:"key"`
	Value string `json:"value"`
}

type transactionJSON struct {
	Checks []checkJSON `json:"checks"`
	Puts   []putJSON   `json:"puts"`
}

// TableVersion returns the version of the table that the platform stores.
func TableVersion(platform string) (version uint64, err error) {
	var rows rowsJSON
	if err := Post(platform, "/v1/read_versions", keysJSON{Keys: []string{tableKey}}, &rows); err != nil {
		return 0, err
	}
	if len(rows.Rows) != 1 {
		return 0, errors.New("platform: no row in the reply")
	}
	return rows.Rows[0].Version, nil
}

// WriteTable writes csv as the version after from and returns that version. It
// fails when the platform's version is no longer from, as after an edit by another
// writer.
func WriteTable(platform string, from uint64, csv string) (version uint64, err error) {
	defer func() { err = errors.WithMessage(err, "write table") }()
	value, err := json.Marshal(tableRow{
		EditID: fmt.Sprintf("standin-%d", time.Now().UnixNano()),
		Author: "standin",
		Time:   time.Now().UTC().Format(time.RFC3339),
		CSV:    csv,
	})
	if err != nil {
		return 0, err
	}
	version = from + 1
	history := historyKey + strconv.FormatUint(version, 10)
	return version, Post(platform, "/v1/transaction", transactionJSON{
		Checks: []checkJSON{{Key: tableKey, Version: from}},
		Puts:   []putJSON{{Key: tableKey, Value: string(value)}, {Key: history, Value: string(value)}},
	}, nil)
}

// StartOperatorClient starts siskinctl with args against the platform.
func (d *Deployment) StartOperatorClient(name string, args ...string) (*Process, error) {
	return d.Processes.Start(name, d.programPath("siskinctl"), append([]string{"--platform", d.PlatformAddress}, args...)...)
}

// ReadWeights returns the weight of each upstream in the table that the platform
// stores, and the table's version.
func ReadWeights(platform string) (weights map[string]int, version uint64, err error) {
	defer func() { err = errors.WithMessage(err, "read weights") }()
	var rows rowsJSON
	if err := Post(platform, "/v1/read", keysJSON{Keys: []string{tableKey}}, &rows); err != nil {
		return nil, 0, err
	}
	if len(rows.Rows) != 1 {
		return nil, 0, errors.New("platform: no row in the reply")
	}
	var row tableRow
	if err := json.Unmarshal([]byte(rows.Rows[0].Value), &row); err != nil {
		return nil, 0, err
	}
	weights, err = parseWeights(row.CSV)
	return weights, rows.Rows[0].Version, err
}
