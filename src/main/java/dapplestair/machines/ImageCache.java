package dapplestair.machines;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Predicate;

/**
 * A controller's view of the images on one machine: which are present, which are being fetched, and
 * which the machine has dropped, since it keeps the most recently used ones. The view is only a
 * hint for placement; the truth shows when a task starts.
 */
public final class ImageCache {
  private static final class Image {
    long readyAtMs;
    double sizeGb;
    long lastUse;

    Image(long readyAtMs, double sizeGb, long lastUse) {
      this.readyAtMs = readyAtMs;
      this.sizeGb = sizeGb;
      this.lastUse = lastUse;
    }
  }

  private final Map<String, Image> images = new HashMap<>();
  private long fetchesEndAtMs;
  private long useCounter;

  /**
   * Returns the seconds until a task that needs this image could start; all fetches share one rate.
   *
   * @param fetchS seconds that a fetch of the image takes when it runs alone
   */
  public double waitS(String image, double fetchS, long nowMs) {
    Image cached = images.get(image);
    if (cached != null) {
      return Math.max(0, cached.readyAtMs - nowMs) / 1000.0;
    }
    return Math.max(0, fetchesEndAtMs - nowMs) / 1000.0 + fetchS;
  }

  /** Records that a task that needs the image is launched: the image is fetched, or used again. */
  public void recordUse(String image, double sizeGb, double fetchS, long nowMs) {
    Image cached = images.get(image);
    if (cached == null) {
      fetchesEndAtMs = nowMs + Math.round(1000 * waitS(image, fetchS, nowMs));
      cached = new Image(fetchesEndAtMs, sizeGb, 0);
      images.put(image, cached);
    }
    cached.sizeGb = sizeGb;
    cached.lastUse = ++useCounter;
  }

  /** Records that a task that needs the image runs, so the image is certainly present. */
  public void recordPresent(String image, double sizeGb, long nowMs) {
    Image cached = images.computeIfAbsent(image, i -> new Image(nowMs, sizeGb, ++useCounter));
    cached.readyAtMs = Math.min(nowMs, cached.readyAtMs);
    cached.sizeGb = sizeGb;
  }

  /**
   * Records a hint that the image is present; never overrides what is already known of the image.
   */
  public void recordHint(String image, double sizeGb) {
    images.putIfAbsent(image, new Image(Long.MIN_VALUE / 2, sizeGb, 0));
  }

  /** Evicts the least recently used images until the others fit, except those in use. */
  public void evictToFit(double cacheGb, Predicate<String> inUse) {
    double totalGb = images.values().stream().mapToDouble(i -> i.sizeGb).sum();
    while (totalGb > cacheGb) {
      String eldest =
          images.entrySet().stream()
              .filter(e -> !inUse.test(e.getKey()))
              .min(Comparator.comparingLong(e -> e.getValue().lastUse))
              .map(Map.Entry::getKey)
              .orElse(null);
      if (eldest == null) {
        return;
      }
      totalGb -= images.remove(eldest).sizeGb;
    }
  }

  /** Returns the images that are present now, with their sizes in gigabytes. */
  public Map<String, Double> readyImages(long nowMs) {
    Map<String, Double> sizes = new HashMap<>();
    images.forEach(
        (name, image) -> {
          if (image.readyAtMs <= nowMs) {
            sizes.put(name, image.sizeGb);
          }
        });
    return sizes;
  }
}
