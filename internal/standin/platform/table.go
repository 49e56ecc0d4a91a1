package platform

import (
	"errors"
	"net/http"

	coordtable "github.com/banyanshift/banyanshift/coord/table"
	"github.com/banyanshift/banyanshift/internal/platform/table"
)

func (p *Platform) tableGet(c call) answer {
	var query table.GetQuery
	if !c.decode(&query) {
		return refuse(http.StatusBadRequest, "BadBody")
	}
	row, err := p.rows.Get(c.Context(), query.Key)
	if err != nil {
		return refuse(http.StatusServiceUnavailable, err.Error())
	}
	return ok(row)
}

func (p *Platform) tableScan(c call) answer {
	var query table.ScanQuery
	if !c.decode(&query) {
		return refuse(http.StatusBadRequest, "BadBody")
	}
	rows, err := p.rows.Scan(c.Context(), query.Prefix, query.After, query.Limit)
	if err != nil {
		return refuse(http.StatusServiceUnavailable, err.Error())
	}
	return ok(table.ScanResult{Rows: rows})
}

func (p *Platform) tableCommit(c call) answer {
	var txn coordtable.Txn
	if !c.decode(&txn) {
		return refuse(http.StatusBadRequest, "BadBody")
	}
	err := p.rows.Commit(c.Context(), txn)
	switch {
	case errors.Is(err, coordtable.ErrConflict):
		return refuse(http.StatusConflict, "Conflict")
	case err != nil:
		return refuse(http.StatusServiceUnavailable, err.Error())
	}
	return ok(struct{}{})
}
