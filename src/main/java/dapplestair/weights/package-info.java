/** Records of which machines hold which image, for the next leader (docs/weights.md). */
package dapplestair.weights;
