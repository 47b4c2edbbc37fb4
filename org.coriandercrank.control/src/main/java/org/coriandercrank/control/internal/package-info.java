/** Implementation of the control plane; code runs on the control thread unless a class states otherwise. */
package org.coriandercrank.control.internal;
