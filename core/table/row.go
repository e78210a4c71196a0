package table

import (
	"encoding/json"

	"github.com/pkg/errors"
)

// Keys of the rows in the platform's table service.
const (
	RowKey           = "table"
	HistoryKeyPrefix = "table_history/" // followed by the version in decimal
)

// MaxRowBytes is the largest value of the platform's row that is looked at.
const MaxRowBytes = 2 * MaxTextBytes

// RowValue is the value of the platform's row of the table, and of each row of its
// history. The row's version in the platform is the version of the table.
type RowValue struct {
	EditID string `json:"edit_id"` // names the edit; random, chosen by its author's client
	Author string `json:"author"`
	Time   string `json:"time"` // RFC 3339, by the clock of the author's machine; for people only
	CSV    string `json:"csv"`
}

// DecodeRow reads a Row from the platform's JSON.
func DecodeRow(value string) (row RowValue, err error) {
	defer func() { err = errors.WithMessage(err, "row "+RowKey) }()
	if len(value) > MaxRowBytes {
		return RowValue{}, errors.Errorf("the value has %d bytes; keep it under %d", len(value), MaxRowBytes)
	}
	if err := json.Unmarshal([]byte(value), &row); err != nil {
		return RowValue{}, errors.Errorf("the value is not JSON as siskinctl writes it: %v; apply the table again", err)
	}
	if row.EditID == "" {
		return RowValue{}, errors.New("edit_id is empty; apply the table again")
	}
	return row, nil
}

// EncodeRow writes a Row in the platform's JSON.
func EncodeRow(row RowValue) string {
	b, _ := json.Marshal(row)
	return string(b)
}
