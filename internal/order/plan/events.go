package plan

import (
	"github.com/sirupsen/logrus"

	"github.com/banyanshift/banyanshift/internal/decide/capacity"
	"github.com/banyanshift/banyanshift/internal/observe/event"
	"github.com/banyanshift/banyanshift/internal/observe/metric"
)

var eventNotSubmitted = event.New(1820, logrus.WarnLevel, "capacity orders not given",
	"The order journal or the platform did not answer. The next decision is made in two seconds from what runs then.")

var (
	firmEndpoints  = metric.NewCounter("Capacity.FirmEndpoints", "Firm endpoints of the region that run or were ordered, at the lease holder.")
	cheapEndpoints = metric.NewCounter("Capacity.CheapEndpoints", "Cheap endpoints of the region that run or were ordered, at the lease holder.")
	milliPrice     = metric.NewCounter("Capacity.MilliPrice", "Price of an hour of the region's endpoints in thousandths of the currency, at the lease holder.")
	missingTop     = metric.NewCounter("Capacity.MissingTop", "Endpoints that the top tiers need beyond those that run, at the lease holder.")
	missingRest    = metric.NewCounter("Capacity.MissingAll", "Endpoints that all tiers need beyond those that run, at the lease holder.")
	noCheap        = metric.NewCounter("Capacity.CheapUnavailable", "Failure domains that had no cheap endpoints to give lately, at the lease holder.")
)

func publish(report capacity.Report) {
	firmEndpoints.Set(int64(report.FirmEndpoints))
	cheapEndpoints.Set(int64(report.CheapEndpoints))
	milliPrice.Set(report.MilliPrice)
	missingTop.Set(int64(report.MissingTop))
	missingRest.Set(int64(report.MissingTotal))
	noCheap.Set(int64(len(report.CheapUnavailable)))
}
