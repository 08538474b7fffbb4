/** The life of each zone, on record: cut, lost, returning, steady (docs/zones.md). */
package dapplestair.zones;
