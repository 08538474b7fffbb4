package dapplestair.machines;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Predicate;

/**
 * The images on one machine as a controller believes them to be: those that are there, those that
 * are being fetched, and which of them the machine has given up again, since it keeps those most
 * recently used. All of it is hints for placing; a task that starts tells the truth.
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
   * Seconds until a task that needs this image could start; fetches share one rate.
   *
   * @param fetchS how long a fetch of it takes alone
   */
  public double waitS(String image, double fetchS, long nowMs) {
    Image cached = images.get(image);
    if (cached != null) {
      return Math.max(0, cached.readyAtMs - nowMs) / 1000.0;
    }
    return Math.max(0, fetchesEndAtMs - nowMs) / 1000.0 + fetchS;
  }

  /** A task that needs it is launched: it is fetched, or used again. */
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

  /** A task that needs it runs: it is surely there. */
  public void recordPresent(String image, double sizeGb, long nowMs) {
    Image cached = images.computeIfAbsent(image, i -> new Image(nowMs, sizeGb, ++useCounter));
    cached.readyAtMs = Math.min(nowMs, cached.readyAtMs);
    cached.sizeGb = sizeGb;
  }

  /** Somebody said that it is there; what is known better is not touched. */
  public void recordHint(String image, double sizeGb) {
    images.putIfAbsent(image, new Image(Long.MIN_VALUE / 2, sizeGb, 0));
  }

  /** Gives up the least recently used until the rest fits, but for those in use. */
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

  /** Those that are there now, with their sizes. */
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
