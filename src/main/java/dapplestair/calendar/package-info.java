/** Run calendars: runs that wait, cycle by cycle, for deliveries (docs/calendar.md). */
package dapplestair.calendar;
