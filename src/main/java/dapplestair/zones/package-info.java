/** The recorded state of each zone: cut, lost, returning or steady (docs/zones.md). */
package dapplestair.zones;
