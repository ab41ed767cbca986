package plat

import (
	"encoding/json"
	"io"
	"net/http"

	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"

	"bergamotloom.example/write"
)

// transaction is the request body of a table transaction.
type transaction struct {
	Token  string
	Writes []write.Write
}

// outcome is the response body of a table transaction.
type outcome struct {
	Applied bool
}

// Handler returns the HTTP interface:
//
//	GET  /table/row?Key=K        a row, or 404
//	GET  /table/rows?Prefix=P    rows in key order
//	POST /table/transactions     {"Token":..., "Writes":[...]}, returns {"Applied":...}
//	GET  /objects/one?Name=N     an object's bytes, or 404
//	PUT  /objects/one?Name=N     stores the body
//	GET  /objects?Prefix=P       names in order
//	GET  /switches               the fault settings
//	POST /switches               changes the fault settings that the body names
//	GET  /counters               the counters
func (p *Platform) Handler() http.Handler {
	e := echo.New()
	e.HTTPErrorHandler = writeError
	e.GET("/table/row", p.getRow)
	e.GET("/table/rows", p.getRows)
	e.POST("/table/transactions", p.postTransaction)
	e.GET("/objects", p.getObjects)
	e.GET("/objects/one", p.getObject)
	e.PUT("/objects/one", p.putObject)
	e.GET("/switches", p.getSwitches)
	e.POST("/switches", p.postSwitches)
	e.GET("/counters", p.getCounters)
	return e
}

// writeError responds with the status of the error. It aborts the connection
// to simulate a lost response.
func writeError(err error, c echo.Context) {
	switch {
	case errors.Is(err, errResponseLost):
		panic(http.ErrAbortHandler)
	case errors.Is(err, errOutage):
		_ = c.String(http.StatusServiceUnavailable, err.Error())
	case errors.Is(err, errThrottled):
		_ = c.String(http.StatusTooManyRequests, err.Error())
	default:
		c.Echo().DefaultHTTPErrorHandler(err, c)
	}
}

func (p *Platform) getRow(c echo.Context) error {
	r, ok, err := p.Table().Get(c.Request().Context(), c.QueryParam("Key"))
	if err != nil {
		return err
	}
	if !ok {
		return c.NoContent(http.StatusNotFound)
	}
	return c.JSON(http.StatusOK, r)
}

func (p *Platform) getRows(c echo.Context) error {
	rows, err := p.Table().Scan(c.Request().Context(), c.QueryParam("Prefix"))
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, rows)
}

func (p *Platform) postTransaction(c echo.Context) error {
	var t transaction
	if err := decode(c.Request().Body, &t); err != nil {
		return err
	}
	applied, err := p.Table().Transact(c.Request().Context(), t.Token, t.Writes)
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, outcome{Applied: applied})
}

func (p *Platform) getObjects(c echo.Context) error {
	names, err := p.Objects().List(c.Request().Context(), c.QueryParam("Prefix"))
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, names)
}

func (p *Platform) getObject(c echo.Context) error {
	value, ok, err := p.Objects().Get(c.Request().Context(), c.QueryParam("Name"))
	if err != nil {
		return err
	}
	if !ok {
		return c.NoContent(http.StatusNotFound)
	}
	return c.Blob(http.StatusOK, echo.MIMEOctetStream, value)
}

func (p *Platform) putObject(c echo.Context) error {
	value, err := io.ReadAll(c.Request().Body)
	if err != nil {
		return errors.Wrap(err, "platform: reading an object")
	}
	if err := p.Objects().Put(c.Request().Context(), c.QueryParam("Name"), value); err != nil {
		return err
	}
	return c.NoContent(http.StatusNoContent)
}

func (p *Platform) getSwitches(c echo.Context) error {
	return c.JSON(http.StatusOK, p.Faults())
}

func (p *Platform) postSwitches(c echo.Context) error {
	f := p.Faults()
	if err := decode(c.Request().Body, &f); err != nil {
		return err
	}
	p.SetFaults(f)
	return c.JSON(http.StatusOK, f)
}

func (p *Platform) getCounters(c echo.Context) error {
	return c.JSON(http.StatusOK, p.Counts())
}

// decode decodes a JSON body and rejects unknown fields.
func decode(body io.Reader, into any) error {
	d := json.NewDecoder(body)
	d.DisallowUnknownFields()
	if err := d.Decode(into); err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, "platform: "+err.Error())
	}
	return nil
}
