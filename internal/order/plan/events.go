package plan

import (
	"github.com/sirupsen/logrus"

	"github.com/banyanshift/banyanshift/internal/decide/capacity"
	"github.com/banyanshift/banyanshift/internal/observe/event"
	"github.com/banyanshift/banyanshift/internal/observe/metric"
)

var eventNotSubmitted = event.New(1820, logrus.WarnLevel, "capacity orders not submitted",
	"The order journal or the platform did not answer. The next decision follows in two seconds and uses the endpoints that run by then.")

var (
	firmEndpoints    = metric.NewCounter("Capacity.FirmEndpoints", "Firm endpoints of the region that run or were ordered, at the lease holder.")
	cheapEndpoints   = metric.NewCounter("Capacity.CheapEndpoints", "Cheap endpoints of the region that run or were ordered, at the lease holder.")
	milliPrice       = metric.NewCounter("Capacity.MilliPrice", "Hourly price of the region's endpoints in thousandths of the currency, at the lease holder.")
	missingTop       = metric.NewCounter("Capacity.MissingTop", "Endpoints that the top tiers need beyond those that run, at the lease holder.")
	missingAll       = metric.NewCounter("Capacity.MissingAll", "Endpoints that all tiers need beyond those that run, at the lease holder.")
	cheapUnavailable = metric.NewCounter("Capacity.CheapUnavailable", "Failure domains that recently had no cheap endpoints available, at the lease holder.")
)

func publish(report capacity.Report) {
	firmEndpoints.Set(int64(report.FirmEndpoints))
	cheapEndpoints.Set(int64(report.CheapEndpoints))
	milliPrice.Set(report.MilliPrice)
	missingTop.Set(int64(report.MissingTop))
	missingAll.Set(int64(report.MissingTotal))
	cheapUnavailable.Set(int64(len(report.CheapUnavailable)))
}
