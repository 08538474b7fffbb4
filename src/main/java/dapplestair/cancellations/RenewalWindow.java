package dapplestair.cancellations;

import dapplestair.settings.Settings;

/** How old a controller's knowledge of cancellations may be for it to renew leases. */
final class RenewalWindow {
  private RenewalWindow() {}

  /**
   * Returns the window in milliseconds. A lease renewed within it still ends before a cancelled
   * task must have ended, unless the settings leave less than two report intervals for that (see
   * {@link #isLongerThanSettingsAllow}). A sixteenth of a lease is reserved for clock drift and for
   * messages in flight.
   */
  static long ofMs(Settings.Workers workers) {
    return Math.max(timeLeftAfterLeaseMs(workers), minimumMs(workers));
  }

  /** Returns whether the window had to be made longer than what the settings leave for it. */
  static boolean isLongerThanSettingsAllow(Settings.Workers workers) {
    return timeLeftAfterLeaseMs(workers) < minimumMs(workers);
  }

  private static long timeLeftAfterLeaseMs(Settings.Workers workers) {
    return workers.cancelMs() - workers.leaseMs() - workers.leaseMs() / 16;
  }

  private static long minimumMs(Settings.Workers workers) {
    return 2 * workers.reportMs();
  }
}
